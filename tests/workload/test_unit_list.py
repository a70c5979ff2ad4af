"""Test that each unit whose turn has come runs, waits, or is known to be kept back."""

from __future__ import annotations

import pytest

from wasabispur_core.log_event import CAPACITY_ALLOCATED, UNITS_LISTED
from wasabispur_core.workload.jobs.unit_list import count_units, UnitList

from .world import started_world, tasks


def listed(world):
    """Return the counts of the owner's units."""
    return count_units(world.owner().fleet, world.timers.now())


def test_units_are_counted_by_list():
    """Guard against a log that doesn't tell a full fleet from units kept back."""
    world = started_world(workers=1)
    world.submit(tasks(1, 8), duration=60)
    world.advance(1)
    world.submit(tasks(400, 8), queue_name="bulk")
    world.advance(2)
    counts = listed(world).counts
    assert counts[UnitList.RUNNING] == 1
    assert counts[UnitList.OFFERED] == 250
    assert counts[UnitList.NOT_CREATED] == 150
    assert sum(counts.values()) == 401


def test_lists_are_logged_at_most_once_a_second_while_a_unit_waits():
    """Guard against a wait without a line, and a line for each planning pass."""
    world = started_world(workers=1)
    owner = world.owner()
    world.submit(tasks(1, 8), duration=20)
    world.advance(5)
    assert UNITS_LISTED.number not in owner.logs
    world.submit(tasks(1, 8))
    world.advance(10)
    lines = [one for one in owner.records if one.number == UNITS_LISTED.number]
    assert 7 <= len(lines) <= 10
    assert lines[-1].fields["offered"] == 1
    assert lines[-1].fields["offered_longest"] > 7


@pytest.mark.parametrize("index", ["waiting", "offered"])
def test_unit_that_no_list_contains_is_found(index):
    """Guard against a check that overlooks a unit that nothing will place."""
    world = started_world(workers=1)
    world.submit(tasks(1, 8), duration=60)
    world.advance(1)
    world.submit(tasks(1, 8))
    world.advance(1)
    fleet = world.owner().fleet
    (unit_id,) = fleet.waiting
    known = fleet.waiting if index == "waiting" else fleet.view.waiting
    fleet.view.changed_units.clear()
    fleet.view.aging_units.clear()
    known.clear()
    assert listed(world).unlisted == [".".join(map(str, unit_id))]


def test_capacity_is_logged_by_cause_while_a_unit_waits():
    """Guard against "no room" in a log for both a full fleet and silent workers."""
    world = started_world(workers=4)
    owner = world.owner()
    world.submit(tasks(3, 8), duration=60)
    world.advance(1)
    running = [one for one in world.workers.values() if one.runs]
    idle = next(one for one in world.workers.values() if not one.runs)
    running[0].silent = True
    world.agents[running[0].agent_id].paused = True
    idle.draining = True
    world.advance(5)
    world.submit(tasks(1, 8))
    world.advance(3)
    line = [one for one in owner.records if one.number == CAPACITY_ALLOCATED.number][-1]
    accelerators = {
        kind: {cause: amounts[2] for cause, amounts in line.fields[kind].items()}
        for kind in ("allocated", "unused")
    }
    assert accelerators["allocated"] == {"active": 16, "silent": 8}
    assert accelerators["unused"] == {"free": 0, "silent": 0, "not_ready": 8}
    assert line.fields["capacity"] == [32000, 32000, 32]
