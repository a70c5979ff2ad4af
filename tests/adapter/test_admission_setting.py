"""Test which deployments use admission control, and which feeds their entries have."""

from __future__ import annotations

import pytest

from wasabispur_platform.node_settings import entry_settings, read_node_file

from .test_cordon_rows import SETTINGS


@pytest.mark.parametrize("contracts", ["", '"places"', '"places", "tenants"'])
def test_admission_control_is_used_where_the_deployment_has_tenants(
    tmp_path, contracts
):
    """Guard against rejections in a deployment that doesn't know them."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.format(contracts=contracts), "utf-8")
    settings = entry_settings(read_node_file(path))
    assert settings.admission_control is ("tenants" in contracts)
