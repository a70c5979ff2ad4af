"""Test which deployments use admission control."""

from __future__ import annotations

import pytest

from wasabispur_platform.node_settings import entry_settings, read_node_file

from .test_cordon_rows import SETTINGS


@pytest.mark.parametrize("line", ["", "admission_control = false"])
@pytest.mark.parametrize("contracts", ["", '"places", "tenants"'])
def test_admission_control_is_off_unless_the_settings_ask_for_it(
    tmp_path, contracts, line
):
    """Guard against rejections in a deployment that doesn't know them."""
    path = tmp_path / "node.toml"
    path.write_text(line + SETTINGS.format(contracts=contracts), "utf-8")
    assert not entry_settings(read_node_file(path)).admission_control


def test_admission_control_is_on_where_the_settings_ask_for_it(tmp_path):
    """Guard against a setting without effect."""
    path = tmp_path / "node.toml"
    path.write_text("admission_control = true" + SETTINGS.format(contracts=""), "utf-8")
    assert entry_settings(read_node_file(path)).admission_control
