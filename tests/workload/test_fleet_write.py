"""Test the rows that the shard's owner writes."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import pytest

from wasabispur_core.workload.rows import (
    order_key,
    pack,
    progress_key,
    unit_page_prefix,
)

from .test_planner_memory import change
from .world import TIME_STEP, World

STEPS = 80
"""Random changes of one history."""

LATE_FIELDS = {"checkpoint", "started_at"}
"""Fields that are stored with the next change of the unit."""


def comparable(row: dict, late_fields: set[str] = LATE_FIELDS) -> dict:
    """Return a unit's row without the fields that may be stored later."""
    return {
        name: [comparable(member) for member in value] if name == "members" else value
        for name, value in row.items()
        if name not in late_fields
    }


def stored_units(world: World, job_id: str) -> tuple[list[dict], int]:
    """Return the stored rows of a job's units, and the number of completed units."""
    pages = [row.value for row in world.store.under(f"{unit_page_prefix()}{job_id}.")]
    rows = [unit for page in pages for unit in page.get("units", ())]
    return rows, sum(page.get("completed", 0).bit_count() for page in pages)


def by_unit(rows: Iterable[dict]) -> dict[tuple, dict]:
    """Return the rows of units, without the late fields, by the units' places."""
    places = ("occurrence", "step", "index")
    found = [(tuple(row.get(name, 0) for name in places), row) for row in rows]
    assert len(dict(found)) == len(found)
    return {place: comparable(row) for place, row in found}


def settle(world: World) -> None:
    """Advance until the owner has no row to write."""
    ownership = world.owner().shard.ownership
    while ownership.pending or ownership.in_flight_rows:
        world.advance(TIME_STEP)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_written_rows_are_those_of_the_present_state(seed):
    """Guard against a row that misses a change, since only changes are packed.

    The next owner would continue from an older state of the unit, and a worker would
    run by older orders.
    """
    random = Random(seed)
    world = World(workers=6)
    world.advance(4)
    compared = 0
    for _ in range(STEPS):
        change(world, random)
        world.advance(random.choice([0.05, 0.2, 0.5]))
        fleet = world.owner().fleet
        for job in fleet.jobs.values():
            for unit in job.units.values():
                if unit.stored_row is not None:
                    current = pack(unit.record(fleet.store_offset))
                    stored = comparable(unit.stored_row, {"started_at"})
                    assert stored == comparable(current, {"started_at"})
                    compared += 1
        assert not fleet.dirty_jobs
        assert not fleet.dirty_workers
    assert compared > STEPS
    world.clear_faults()
    world.advance(3)
    settle(world)
    fleet = world.owner().fleet
    for job_id, job in fleet.jobs.items():
        progress = world.store.rows[progress_key(job_id)].value
        open_occurrences = list(progress.get("open_occurrences", ()))
        assert progress == job.rows.progress
        assert open_occurrences == sorted(job.open_occurrences)
        stored, completed = stored_units(world, job_id)
        records = [unit.record(fleet.store_offset) for unit in job.units.values()]
        assert by_unit(stored) == by_unit(pack(record) for record in records)
        assert completed == sum(
            step.completed
            for occurrence in job.open_occurrences.values()
            for step in occurrence.steps.values()
        )
    for worker in fleet.workers.values():
        key = order_key(worker.agent_id, worker.worker_id)
        assert world.store.rows[key].value == pack(worker.written_orders)
