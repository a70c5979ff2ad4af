"""Test which deployments use fair shares of organisations."""

from __future__ import annotations

import pytest

from wasabispur_platform.node_settings import entry_settings, read_node_file

from .test_cordon_rows import SETTINGS


@pytest.mark.parametrize(
    ("line", "expected"),
    [("", False), ("fair_shares = false\n", False), ("fair_shares = true\n", True)],
)
def test_fair_shares_are_off_unless_the_settings_ask_for_them(tmp_path, line, expected):
    """Guard against another order in a deployment that doesn't know the setting."""
    path = tmp_path / "node.toml"
    path.write_text(line + SETTINGS.format(contracts='"places"'), "utf-8")
    assert entry_settings(read_node_file(path)).fair_shares is expected
