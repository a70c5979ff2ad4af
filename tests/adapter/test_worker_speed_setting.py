"""Test which deployments learn the speeds of workers."""

from __future__ import annotations

import pytest

from wasabispur.fleet_settings import FleetEntrySettings
from wasabispur_platform.node_settings import entry_settings, read_node_file

from .test_cordon_rows import SETTINGS


@pytest.mark.parametrize(
    ("contracts", "expected"),
    [
        ("", False),
        ('"places"', False),
        ('"health"', True),
        ('"places", "health"', True),
    ],
)
def test_worker_speeds_are_learned_with_the_contract(tmp_path, contracts, expected):
    """Guard against other decisions, and a new row, in a deployment without it."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.format(contracts=contracts), "utf-8")
    assert entry_settings(read_node_file(path)).worker_speeds is expected


def test_product_learns_worker_speeds_by_default():
    """Guard against a default that differs from the documented one."""
    assert FleetEntrySettings.__dataclass_fields__["worker_speeds"].default is True
