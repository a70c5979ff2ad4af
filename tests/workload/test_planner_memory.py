"""Test that passes with results of earlier passes decide as passes without them."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import fields
from random import Random

import pytest

from wasabispur_core.workload import planning_pass, rack_wait, scheduler
from wasabispur_core.workload.fleet_state import FleetState
from wasabispur_core.workload.fleet_view import FleetView
from wasabispur_core.workload.plan import (
    Evacuate,
    Move,
    Place,
    Preempt,
    Snapshot,
    WorkerSnapshot,
)
from wasabispur_core.workload.planner import Planner
from wasabispur_core.workload.snapshot import take_snapshot

from .world import gang, ORGANISATIONS, tasks, World

STEPS = 120
"""Random changes of one history."""


def full_snapshot(state: FleetState, now: float) -> Snapshot:
    """Return a snapshot that is derived from the whole state."""
    kept, state.view = state.view, FleetView()
    for job in state.jobs.values():
        state.view.changed_units.update(job.units)
    snapshot = take_snapshot(state, now)
    state.view = kept
    return snapshot


def values(worker: WorkerSnapshot) -> tuple:
    return tuple(getattr(worker, item.name) for item in fields(worker))


def contents(snapshot: Snapshot) -> tuple:
    """Return what a snapshot says, without the order and the age of its entries."""
    return (
        {worker.worker_ref: values(worker) for worker in snapshot.workers},
        {unit.unit_id: unit for unit in snapshot.waiting},
        {
            unit.unit_id: (
                unit.priority,
                unit.guaranteed,
                unit.placement,
                unit.stopping,
                unit.preemptions,
                unit.leaves_in,
                unit.stalled_for,
                round(unit.lost_work_at(snapshot.now), 6),
            )
            for unit in snapshot.running
        },
    )


def effects(decisions) -> tuple[set, list]:
    """Return the relocations, whose order has no meaning, and all other effects."""
    relocated = {one for one in decisions if isinstance(one, (Evacuate, Move))}
    return relocated, [one for one in decisions if isinstance(one, (Place, Preempt))]


class ComparedPasses:
    """Compare each pass of a history with a pass over the whole state."""

    def __init__(self) -> None:
        self.passes = 0
        self.remembered = 0
        self.decided = 0

    def take_snapshot(self, state: FleetState, now: float) -> Snapshot:
        snapshot = take_snapshot(state, now)
        full = full_snapshot(state, now)
        assert contents(snapshot) == contents(full)
        found = deepcopy(state.planner).decide(snapshot)
        # A unit keeps the workers on which others have been stopped for it.
        without_memory = Planner(reservations=state.planner.reservations)
        expected = without_memory.decide(full)
        assert effects(found) == effects(expected)
        self.passes += 1
        self.remembered += snapshot.changed is not None and bool(state.planner.unmet)
        self.decided += sum(len(part) for part in effects(found))
        return snapshot


def change(world: World, random: Random) -> None:
    """Make one random change of the load or of the workers."""
    worker = world.workers[random.choice(sorted(world.workers))]
    kind = random.choice(
        ["job"] * 6 + ["cancel", "restart", "drain", "sick", "stalled", "silent"]
    )
    if kind == "job":
        step = random.choice([gang, tasks])
        world.submit(
            step(
                random.randint(1, 4),
                random.choice([1, 2, 4, 8]),
                same_rack=random.random() < 0.3,
                checkpointing=random.random() < 0.3,
                data_rack=random.choice(["", "", "r1-0", "r1-1"]),
                tasks_per_worker=random.choice([0, 0, 1]),
            ),
            queue_name=random.choice(["urgent", "batch", "bulk"]),
            organisation=random.choice(ORGANISATIONS),
            duration=random.choice([0.3, 2.0, 9.0]),
        )
    elif kind == "cancel" and world.accepted:
        world.cancel(random.choice(sorted(world.accepted)))
    elif kind == "restart":
        world.restart_worker(worker)
    elif kind == "drain":
        worker.draining = not worker.draining
    elif kind == "sick":
        worker.sick = not worker.sick
    elif kind == "stalled":
        worker.stalled = not worker.stalled
    elif kind == "silent":
        worker.silent = not worker.silent


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 58])
def test_pass_with_memory_decides_as_a_full_pass(seed, monkeypatch):
    """Guard against a unit that waits although another pass would place it.

    A pass looks only at what has changed since the last one, and a change that it
    doesn't notice would leave units waiting or preempt others without need.
    """
    compared = ComparedPasses()
    monkeypatch.setattr(scheduler, "take_snapshot", compared.take_snapshot)
    # With the limits, a pass with memory searches for other units than a full pass.
    monkeypatch.setattr(planning_pass, "EVICTION_SEARCH_LIMIT", 10_000)
    monkeypatch.setattr(planning_pass, "EVICTION_SEARCH_INTERVAL", 0.0)
    # Between two forecasts, a pass with memory keeps a decision to wait for a rack.
    monkeypatch.setattr(rack_wait, "CHECK_INTERVAL", 0.0)
    random = Random(seed)
    world = World(workers=6)
    world.advance(4)
    for _ in range(STEPS):
        change(world, random)
        world.advance(random.choice([0.05, 0.2, 0.5]))
    assert compared.passes > STEPS
    assert compared.remembered > STEPS / 3
    assert compared.decided > STEPS / 3
