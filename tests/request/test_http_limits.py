"""Test how the limits of HTTP servers follow from the resources of a process."""

from __future__ import annotations

import json
import resource

import pytest
from click.testing import CliRunner

from wasabispur.entry_settings import EntrySettings
from wasabispur.settings_command import check_settings
from wasabispur_core.error import SettingsError
from wasabispur_core.http_budget import http_budget
from wasabispur_core.http_limits import (
    check_limits,
    FILE_DESCRIPTORS,
    HttpLimits,
    main_limits,
    side_limits,
)
from wasabispur_core.limit import BODY_LIMIT_BYTES


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(168, 3896), (200, 3900), (552, 7992), (128, 200)]
)
def test_budgets_follow_from_the_resources_of_the_process(memory_mb, descriptors):
    """Guard against budgets that add up to more than the process has."""
    limits = HttpLimits(body_bytes=4 * 1024 * 1024)
    main = main_limits(limits, memory_mb, descriptors, 2)
    side = side_limits(limits, memory_mb, descriptors)
    assert main.connections + 2 * side.connections <= descriptors - 64
    assert main.buffer_bytes + 2 * side.buffer_bytes <= memory_mb * 2**20 / 8


MACHINES = (
    (128, 4096),
    (160, 4100),
    (168, 4096),
    (200, 4100),
    (300, 4100),
    (552, 8192),
)
"""Memory in MB and descriptors of the machines in the deployments in force."""


@pytest.mark.parametrize(("memory_mb", "max_fds"), MACHINES)
def test_all_that_clients_take_fits_into_the_memory(memory_mb, max_fds):
    """Guard against budgets that leave out what the process or the kernel holds."""
    descriptors = max_fds - FILE_DESCRIPTORS
    budget = http_budget(memory_mb, descriptors)
    assert budget.total_bytes <= memory_mb * 2**20
    for body_bytes, side_servers in ((BODY_LIMIT_BYTES, 2), (4 * 2**20, 1)):
        limits = HttpLimits(body_bytes=body_bytes)
        main = main_limits(limits, memory_mb, descriptors, side_servers)
        side = side_limits(limits, memory_mb, descriptors)
        connections = main.connections + side_servers * side.connections
        buffer_bytes = main.buffer_bytes + side_servers * side.buffer_bytes
        assert connections <= budget.connections
        assert buffer_bytes <= budget.buffer_bytes


def test_limits_below_the_permitted_ones_are_an_error():
    """Guard against settings that refuse what clients are told they may send."""
    with pytest.raises(SettingsError, match="header_time"):
        check_limits(HttpLimits(header_time=2.0))


ENTRY = {
    "entry_id": "entry-1",
    "region": "Atlanta",
    "data_centre": "a1",
    "http_port": 8080,
    "control_port": 8081,
}
RESOURCES = {"memory_mb": 200, "max_fds": 4096}


@pytest.mark.parametrize(
    ("values", "problem"),
    [
        ({"limits": RESOURCES | {"max_fds": 2100}}, "session_limit"),
        ({"limits": RESOURCES | {"memory_mb": 100}}, "session_limit"),
        ({"http": {"header_time": 2.0}}, "header_time"),
        ({"limits": RESOURCES, "http": {"idle_time": 10.0}}, "idle_time"),
    ],
)
def test_contradictory_limits_of_an_entry_are_found(tmp_path, values, problem):
    """Guard against an entry that starts and then runs out of its resources."""
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(ENTRY | values))
    result = CliRunner().invoke(check_settings, ["--settings", str(path)])
    assert result.exit_code != 0
    assert problem in result.output


@pytest.mark.parametrize("session_limit", [1, 500])
def test_limits_of_an_entry_fit_beside_its_control_port(session_limit, monkeypatch):
    """Guard against budgets of two ports that add up to more than the process has."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (8192, 8192))
    settings = EntrySettings(**ENTRY, session_limit=session_limit, limits=RESOURCES)
    limits = settings.http_limits
    assert limits.connections >= 64
    assert limits.connections + settings.control_connections <= 4096 - 200 - 64
    assert limits.connections * 8192 <= 200 * 2**20 / 8


def test_entry_without_stated_resources_keeps_its_limits():
    """Guard against an upgrade that changes the limits of present deployments."""
    assert EntrySettings(**ENTRY).http_limits == HttpLimits()
