"""Test that passes with results of earlier passes decide as passes without them."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import fields, replace
from random import Random

import pytest

from wasabispur_core.workload.owner import scheduler
from wasabispur_core.workload.owner.fleet_state import FleetState
from wasabispur_core.workload.planning import pass_eviction, rack_wait
from wasabispur_core.workload.planning.fleet_view import FleetView
from wasabispur_core.workload.planning.plan import (
    Evacuate,
    Move,
    Place,
    Preempt,
    Snapshot,
    WorkerSnapshot,
)
from wasabispur_core.workload.planning.planner import Planner
from wasabispur_core.workload.planning.snapshot import take_snapshot
from wasabispur_core.workload.workers.worker import HealthAnswer

from .world import gang, ORGANISATIONS, tasks, World

STEPS = 120
"""Random changes of one history."""

LONG_STEPS = 100
"""Random changes of one history with lasting tasks and changing workers."""

LASTING_JOBS_LIMIT = 3
"""Jobs of lasting tasks at a time, so that other jobs still start."""

OPEN_JOBS_LIMIT = 8
"""Jobs at a time, so that the service has room at times."""

WORKERS_LIMIT = 9
ANSWERS = (HealthAnswer.HEALTHY, HealthAnswer.HEALTHY, HealthAnswer.UNHEALTHY)
IDLE_TIME = 6.0
"""Seconds without any change, longer than the bounds of most waits."""


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
        # A unit keeps the workers on which others have been stopped for it, and the
        # time since which it waits for healthy ones.
        without_memory = Planner(
            reservations=state.planner.reservations,
            doubt_waits=state.planner.doubt_waits,
        )
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
        ["job"] * 6 + ["cancel", "restart", "drain", "faulty", "stalled", "silent"]
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
    elif kind == "faulty":
        worker.fails_runs = not worker.fails_runs
    elif kind == "stalled":
        worker.stalled = not worker.stalled
    elif kind == "silent":
        worker.silent = not worker.silent


@pytest.mark.parametrize(
    ("seed", "health_checks"),
    [*((seed, False) for seed in (1, 2, 3, 4, 5, 58)), (201, True), (202, True)],
)
def test_pass_with_memory_decides_as_a_full_pass(seed, health_checks, monkeypatch):
    """Guard against a unit that waits although another pass would place it.

    A pass looks only at what has changed since the last one, and a change that it
    doesn't notice would leave units waiting or preempt others without need.
    """
    compared = ComparedPasses()
    monkeypatch.setattr(scheduler, "take_snapshot", compared.take_snapshot)
    # With the limits, a pass with memory searches for other units than a full pass.
    monkeypatch.setattr(pass_eviction, "EVICTION_SEARCH_LIMIT", 10_000)
    monkeypatch.setattr(pass_eviction, "EVICTION_SEARCH_INTERVAL", 0.0)
    # Between two forecasts, a pass with memory keeps a decision to wait for a rack.
    monkeypatch.setattr(rack_wait, "CHECK_INTERVAL", 0.0)
    random = Random(seed)
    world = World(workers=6, health_checks=health_checks)
    world.advance(4)
    for _ in range(STEPS):
        change(world, random)
        if health_checks:
            worker = world.workers[random.choice(sorted(world.workers))]
            worker.health = random.choice(ANSWERS)
        world.advance(random.choice([0.05, 0.2, 0.5]))
    assert compared.passes > STEPS
    assert compared.remembered > STEPS / 3
    assert compared.decided > STEPS / 3


class LongHistory:
    """Make random changes of the load and of the workers, and pauses between them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.world = World(workers=6)
        self.jobs: list[str] = []
        self.lasting: list[str] = []
        self.added = 6
        self.world.advance(4)

    def step(self) -> None:
        """Make one change, and let some time pass."""
        kinds = [self.submit] * 6 + [self.submit_lasting, self.cancel_lasting]
        kinds += [self.add_worker, self.remove_worker, self.wait]
        kinds += [lambda: change(self.world, self.random)] * 4
        self.random.choice(kinds)()
        self.world.advance(self.random.choice([0.05, 0.2, 0.5, 1.0]))

    def submit(self, lasting: bool = False) -> str:
        """Submit a job with preferences for racks, labels and wrong estimates."""
        random = self.random
        self.jobs = [job for job in self.jobs if not self.world.ended(job)]
        if len(self.jobs) >= OPEN_JOBS_LIMIT:
            self.world.cancel(self.jobs.pop(0))
        step = tasks if lasting else random.choice([gang, tasks])
        spec = step(
            random.randint(1, 6),
            random.choice([1, 2, 4, 8]),
            same_rack=random.random() < 0.5,
            checkpointing=random.random() < 0.3,
            data_rack=random.choice(["", "r1-0", "r1-1", "r1-2"]),
            label=random.choice(["", "", "a", "r1-0", "r1-1"]),
            tasks_per_worker=random.choice([0, 0, 1]),
            long_running=lasting,
        )
        job = self.world.submit(
            replace(spec, estimate=random.choice([0.0, 0.5, 2.0, 8.0])),
            queue_name=random.choice(["urgent", "batch", "bulk"]),
            organisation=random.choice(ORGANISATIONS),
            duration=900 if lasting else random.choice([0.3, 2.0, 9.0]),
        )
        self.jobs.append(job)
        return job

    def submit_lasting(self) -> None:
        if len(self.lasting) < LASTING_JOBS_LIMIT:
            self.lasting.append(self.submit(lasting=True))

    def cancel_lasting(self) -> None:
        if self.lasting:
            self.world.cancel(self.lasting.pop(0))

    def add_worker(self) -> None:
        if len(self.world.workers) < WORKERS_LIMIT:
            self.world.add_worker(self.added)
            self.added += 1

    def remove_worker(self) -> None:
        """Remove a worker for good, or replace it by another one."""
        worker_id = self.random.choice(sorted(self.world.workers))
        # Ends that were not acknowledged are lost with it, so that tasks run again.
        self.world.restart_worker(self.world.workers[worker_id])
        if self.random.random() < 0.5 or len(self.world.workers) <= 4:
            self.world.replace_worker(worker_id, f"x{self.added}")
            self.added += 1
        else:
            self.world.workers.pop(worker_id).up = False

    def wait(self) -> None:
        self.world.advance(IDLE_TIME)


@pytest.mark.parametrize("seed", [101, 102, 103])
def test_long_history_with_memory_is_decided_as_without(seed, monkeypatch):
    """Guard against waits that a planner with memory ends later than one without.

    Lasting tasks take racks for good, and the waits for racks and for unsuspected
    workers end with the time alone, without any change of a worker.
    """
    compared = ComparedPasses()
    monkeypatch.setattr(scheduler, "take_snapshot", compared.take_snapshot)
    monkeypatch.setattr(pass_eviction, "EVICTION_SEARCH_LIMIT", 10_000)
    monkeypatch.setattr(pass_eviction, "EVICTION_SEARCH_INTERVAL", 0.0)
    monkeypatch.setattr(rack_wait, "CHECK_INTERVAL", 0.0)
    history = LongHistory(seed)
    for _ in range(LONG_STEPS):
        history.step()
    assert compared.passes > LONG_STEPS
    assert compared.remembered > LONG_STEPS / 3
    assert compared.decided > LONG_STEPS / 3
