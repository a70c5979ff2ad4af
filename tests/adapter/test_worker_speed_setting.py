"""Test which deployments learn the speeds of workers."""

from __future__ import annotations

import pytest

from wasabispur.fleet_settings import FleetEntrySettings
from wasabispur_platform.node_settings import entry_settings, read_node_file

from .test_cordon_rows import SETTINGS


@pytest.mark.parametrize(
    "contracts", ["", '"places"', '"health"', '"places", "health"']
)
@pytest.mark.parametrize(
    ("line", "expected"),
    [("", False), ("worker_speeds = false\n", False), ("worker_speeds = true\n", True)],
)
def test_speeds_are_learned_only_if_the_settings_ask(
    tmp_path, contracts, line, expected
):
    """Guard against other decisions, and a new row, in a deployment without it."""
    path = tmp_path / "node.toml"
    path.write_text(line + SETTINGS.format(contracts=contracts), "utf-8")
    assert entry_settings(read_node_file(path)).worker_speeds is expected


def test_product_learns_worker_speeds_by_default():
    """Guard against a default that differs from the documented one."""
    assert FleetEntrySettings.__dataclass_fields__["worker_speeds"].default is True
