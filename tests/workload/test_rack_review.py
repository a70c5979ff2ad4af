"""Test that units which prefer a rack start in time where there is room for them."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from time import process_time

import pytest
from hypothesis import assume, given, settings, strategies as st

from wasabispur_core.workload.jobs.spec import NO_RESOURCES, used_share
from wasabispur_core.workload.jobs.unit import UnitId
from wasabispur_core.workload.owner.scheduler import PAUSE_LIMIT
from wasabispur_core.workload.planning.plan import (
    Place,
    Preempt,
    RunningUnit,
    Snapshot,
    Trust,
    WaitingUnit,
    WorkerSnapshot,
)
from wasabispur_core.workload.planning.planner import Planner
from wasabispur_core.workload.planning.preference import relaxed_units
from wasabispur_core.workload.planning.unit_placement import host_groups, host_key

from .test_planner import decide, placed, running, stopped, waiting, worker
from .world import gang, started_world, tasks

LOST_AFTER = 3.0
"""Seconds without a run, in a service that is half empty, after which a job is lost."""

PASS_INTERVAL = 0.25
"""Seconds between two passes in which no report arrives."""


def test_gang_that_failed_on_a_worker_is_spread_if_every_rack_is_taken():
    """Guard against a relaxed gang that gets the groups of the unrelaxed one.

    Once a run of the gang has failed, both have the same key for their hosts.
    """
    workers = [
        worker(0, 0),
        worker(1, 0, used=8),
        worker(2, 1, used=8),
        worker(3, 1),
        worker(4, 2),
    ]
    lasting = [running("a", 1, 8, run_time=inf), running("b", 2, 8, run_time=inf)]
    unit = waiting(
        "gang", 8, size=2, same_rack=True, failed_on=frozenset({"w4"}), ready_at=-90.0
    )
    found = placed(decide(workers, [unit], lasting))
    assert set(found.get("gang", ())) == {"w0", "w3"}


def test_guaranteed_gang_takes_the_room_freed_for_it_in_two_racks():
    """Guard against a reservation over two racks that is kept without end.

    The workers that may host the gang include all racks, so that the search for the
    reserved workers ends at the gang that still needs a single rack.
    """
    workers = [worker(number, number // 2, used=8) for number in range(4)]
    kept = [
        running(name, number, 8, guaranteed=True, priority=0, run_time=inf)
        for name, number in (("near", 0), ("far", 2))
    ]
    victims = [running("v1", 1, 8), running("v3", 3, 8)]
    unit = waiting("gang", 8, size=2, priority=0, guaranteed=True, same_rack=True)
    planner = Planner()
    first = planner.decide(
        Snapshot(
            now=0.0,
            workers=tuple(workers),
            waiting=(unit,),
            running=(*kept, *victims),
        )
    )
    assert stopped(first) == {"v1", "v3"}
    freed = (workers[0], worker(1, 0), workers[2], worker(3, 1))
    found: dict[str, list[str]] = {}
    for now in (0.5, 1.0, 30.0):
        found |= placed(
            planner.decide(
                Snapshot(now=now, workers=freed, waiting=(unit,), running=tuple(kept))
            )
        )
    assert set(found.get("gang", ())) == {"w1", "w3"}


def test_forecast_counts_the_tasks_of_the_step_that_run_in_the_rack():
    """Guard against a wait for room that the limit of tasks per worker rules out."""
    workers = [
        worker(
            number, number // 2, tasks_of_step={("j", 0, 0): 1} if number < 2 else {}
        )
        for number in range(8)
    ]
    first = [
        replace(running(f"j{n}", n, 1, run_time=inf), unit_id=UnitId("j", 0, 0, n))
        for n in range(2)
    ]
    unit = waiting("j", 1, data_rack="r1-0", tasks_per_worker=1, run_time=60.0)
    unit = replace(unit, unit_id=UnitId("j", 0, 0, 2))
    assert placed(decide(workers, [unit], first)).keys() == {"j"}


def test_waits_of_another_service_claim_no_room_in_the_rack():
    """Guard against a run away from its rack for a claim on workers it can't use."""
    workers = [worker(0, 0, used=8), worker(1, 0, used=8, service="t"), worker(2, 1)]
    runs = [running(f"r{number}", number, 8, run_time=1.0) for number in range(2)]
    fields = {"data_rack": "r1-0", "run_time": 10.0, "objective": 60.0}
    other = waiting("a", 8, service="t", **fields)
    unit = waiting("b", 8, **fields)
    busy = running("b", 2, 0, run_time=inf)
    assert placed(decide(workers, [unit], [*runs, busy])) == {}
    assert placed(decide(workers, [other, unit], [*runs, busy])) == {}


RACKS = 3
WORKERS_IN_RACK = 3
sizes = st.integers(min_value=1, max_value=4)


@st.composite
def fleets(draw) -> tuple[list[WorkerSnapshot], list[RunningUnit]]:
    """Draw a fleet in which less than half of the accelerators are in use."""
    workers: list[WorkerSnapshot] = []
    runs: list[RunningUnit] = []
    for number in range(RACKS * WORKERS_IN_RACK):
        rack = number // WORKERS_IN_RACK
        used = draw(st.sampled_from([8, 8, 4, 0] if rack == 0 else [0, 0, 2, 8]))
        labels = draw(st.sampled_from([("a",), ("b",)]))
        workers.append(worker(number, rack, used=used, labels=(*labels, f"r1-{rack}")))
        if used:
            fields = {
                "run_time": draw(st.sampled_from([0.5, 2.0, 10.0, 1e7, inf])),
                "priority": draw(st.sampled_from([0, 2])),
                "guaranteed": draw(st.booleans()),
            }
            runs.append(running(f"r{number}", number, used, **fields))
    return workers, runs


@st.composite
def units(draw) -> list[WaitingUnit]:
    """Draw units of several jobs, some of which are alike."""
    found = []
    for number in range(draw(sizes)):
        size = draw(sizes)
        fields = {
            "priority": draw(st.sampled_from([0, 1, 2])),
            "guaranteed": False,
            "data_rack": draw(st.sampled_from(["", "r1-0", "r1-0", "r1-1", "r1-9"])),
            "same_rack": draw(st.sampled_from([True, True, False])),
            "label": draw(st.sampled_from(["", "", "a"])),
            "tasks_per_worker": draw(st.sampled_from([0, 0, 0, 1])),
            "run_time": draw(st.sampled_from([0.1, 5.0, 300.0, 3e7])),
            "long_running": draw(st.booleans()),
            "failed_on": draw(
                st.sampled_from([frozenset(), frozenset({"w0"}), frozenset({"w8"})])
            ),
            "objective": draw(st.sampled_from([-100.0, 1.0, 20.0])),
            "suspected": draw(st.booleans()),
        }
        accelerators = draw(st.sampled_from([1, 4, 8]))
        for task in range(draw(st.integers(min_value=1, max_value=3))):
            unit = waiting("", accelerators, size=size, **fields)
            found.append(replace(unit, unit_id=UnitId(f"j{number}", 0, 0, task)))
    return found


def fits_twice(unit: WaitingUnit, workers: list[WorkerSnapshot]) -> bool:
    """Return whether the free resources hold the unit twice, in whatever rack."""
    slots = 0
    for one in workers:
        if unit.label and unit.label not in one.labels:
            continue
        count = unit.demand.count_in(one.free, 2 * unit.size)
        step = one.tasks_of_step.get(unit.unit_id[:3], 0)
        limit = unit.tasks_per_worker
        slots += min(count, max(limit - step, 0)) if limit else count
    return slots >= 2 * unit.size


def is_half_empty(workers: list[WorkerSnapshot]) -> bool:
    free = capacity = NO_RESOURCES
    for one in workers:
        free += one.free
        capacity += one.capacity
    return used_share(free, capacity) < 0.5


@settings(max_examples=1000, deadline=None)
@given(fleets(), units())
def test_job_without_a_run_is_placed_in_time_beside_enough_room(fleet, waiting_units):
    """Guard against any wait of a job beside idle workers, whatever it prefers.

    Nothing ends and nothing is stopped, so that each pass sees only what earlier ones
    have placed.
    """
    workers, runs = fleet
    planner = Planner()
    left = {unit.unit_id: unit for unit in waiting_units}
    since: dict[str, float] = {}
    changed: set[str] | None = None
    for number in range(24):
        now = number * PASS_INTERVAL
        decisions = planner.decide(
            Snapshot(
                now=now,
                workers=tuple(workers),
                waiting=tuple(left.values()),
                running=tuple(runs),
                changed=None if changed is None else frozenset(changed),
                remote_factor=3.0,
            )
        )
        changed = set()
        by_id = {one.worker_ref.worker_id: one for one in workers}
        for one in decisions:
            if not isinstance(one, Place):
                continue
            unit = left.pop(one.unit_id)
            for chosen in one.placement:
                old = by_id[chosen.worker_id]
                steps = dict(old.tasks_of_step)
                steps[unit.unit_id[:3]] = steps.get(unit.unit_id[:3], 0) + 1
                by_id[chosen.worker_id] = replace(
                    old, free=old.free - unit.demand, tasks_of_step=steps
                )
                changed.add(chosen.worker_id)
            runs = [
                *runs,
                replace(
                    running("", 0, 1, run_time=inf, measured_at=now, priority=0),
                    unit_id=unit.unit_id,
                    demand=unit.demand,
                    placement=one.placement,
                    guaranteed=True,
                ),
            ]
        # Preempted units end at the next pass.
        ended = {
            run.unit_id: run for run in runs if run.unit_id.job_id in stopped(decisions)
        }
        for run in ended.values():
            for chosen in run.placement:
                old = by_id[chosen.worker_id]
                by_id[chosen.worker_id] = replace(old, free=old.free + run.demand)
                changed.add(chosen.worker_id)
        runs = [run for run in runs if run.unit_id not in ended]
        workers = list(by_id.values())
        busy = {run.unit_id.job_id for run in runs}
        for unit in left.values():
            job_id = unit.unit_id.job_id
            lacking = unit.long_running or job_id not in busy
            if lacking and fits_twice(unit, workers) and is_half_empty(workers):
                begun = since.setdefault(str(unit.unit_id), now)
                assert now - begun < LOST_AFTER, unit
            else:
                since.pop(str(unit.unit_id), None)


@settings(max_examples=300, deadline=None)
@given(fleets(), units())
def test_units_with_equal_host_keys_have_equal_hosts(fleet, waiting_units):
    """Guard against a unit that gets the workers or the groups kept for another."""
    workers, _ = fleet
    found: dict[tuple, tuple[WaitingUnit, object]] = {}
    for unit in waiting_units:
        for one in (unit, *relaxed_units(unit)):
            hosts = host_groups(one, workers)
            first, known = found.setdefault(host_key(one), (one, hosts))
            assert known == hosts, (first, one)


STOP_PASSES = 3
"""Passes until a preempted unit has stopped."""

RECLAIM_TIME = 3.0
"""Seconds in which a unit under a guarantee gets its room, stops included."""


@settings(max_examples=1000, deadline=None)
@given(fleets(), units(), st.booleans())
def test_guaranteed_unit_gets_its_room_with_one_eviction(fleet, waiting_units, behind):
    """Guard against a reservation that is never used, and evictions that recur."""
    workers, runs = fleet
    first = waiting_units[0]
    unit = replace(first, priority=0, guaranteed=True, long_running=False)
    fixed = [run for run in runs if run.guaranteed or run.priority == 0]
    emptied = []
    for one in workers:
        used = [run for run in fixed if run.placement[0] == one.worker_ref]
        free = one.capacity - (used[0].demand if used else NO_RESOURCES)
        emptied.append(replace(one, free=free))
    assume(fits_twice(unit, emptied))
    planner = Planner()
    stops: dict[UnitId, int] = {}
    changed: frozenset[str] | None = None
    for number in range(int(RECLAIM_TIME / PASS_INTERVAL) + 1):
        now = number * PASS_INTERVAL
        shown = tuple(replace(run, stopping=run.unit_id in stops) for run in runs)
        waits = [unit]
        if behind:
            waits += waiting_units[1:]
        decisions = planner.decide(
            Snapshot(
                now=now,
                workers=tuple(workers),
                waiting=tuple(waits),
                running=shown,
                changed=changed,
                remote_factor=3.0,
            )
        )
        if any(
            isinstance(one, Place) and one.unit_id == unit.unit_id for one in decisions
        ):
            break
        for one in decisions:
            if isinstance(one, Preempt) and one.beneficiary == unit.unit_id:
                assert all(begun == number for begun in stops.values()), "evicts again"
                stops[one.unit_id] = number
        ended = {
            run.unit_id
            for run in runs
            if number - stops.get(run.unit_id, number) >= STOP_PASSES
        }
        freed = {
            run.placement[0].worker_id: run.demand
            for run in runs
            if run.unit_id in ended
        }
        workers = [
            replace(one, free=one.free + freed[one.worker_ref.worker_id])
            if one.worker_ref.worker_id in freed
            else one
            for one in workers
        ]
        runs = [run for run in runs if run.unit_id not in ended]
        changed = frozenset(freed)
    else:
        raise AssertionError(f"no room after {RECLAIM_TIME} s: {unit}")


@pytest.mark.parametrize(
    "fields",
    [
        {"failed_on": frozenset({"w0"})},
        {"trust": Trust.TRIAL},
        {"trust": Trust.NONE},
    ],
    ids=["failed there", "last attempt on trial", "suspected"],
)
def test_unit_gets_an_idle_worker_that_it_avoids_if_lasting_tasks_fill_the_others(
    fields,
):
    """Guard against a wait without end for workers that could hold the unit if idle."""
    trust = {"trust": fields["trust"]} if "trust" in fields else {}
    workers = [
        worker(0, labels=("b",), **trust),
        worker(1, labels=("b",), used=8),
        *(worker(number, 1) for number in range(2, 6)),
    ]
    lasting = [running("lasting", 1, 8, run_time=inf)]
    unit = waiting("unit", 8, label="b", failed_on=fields.get("failed_on", frozenset()))
    assert placed(decide(workers, [unit], lasting, now=30.0)) == {"unit": ["w0"]}


def fail_once(world, job: str) -> None:
    """Let the job's first run fail on the worker where it has begun."""
    for _ in range(80):
        world.advance(0.05)
        begun = [worker for _, task, _, worker in world.starts if task.startswith(job)]
        if begun:
            break
    first = world.workers[begun[0]]
    first.fails_runs = True
    while not any(task.startswith(job) for task in world.failures):
        world.advance(0.05)
    first.fails_runs = False


def runs_of(world, job: str) -> set[int]:
    return {run for _, task, run, _ in world.starts if task.startswith(job)}


def test_task_that_failed_once_runs_again_beside_lasting_tasks():
    """Guard against a task whose only idle worker is the one on which it failed."""
    world = started_world(workers=8)
    world.submit(tasks(1, 8, label="r1-0", long_running=True), duration=900)
    world.advance(1)
    job = world.submit(tasks(1, 8, label="r1-0"), duration=1)
    fail_once(world, job)
    world.advance(LOST_AFTER)
    assert runs_of(world, job) == {1, 2}


def test_gang_that_failed_once_runs_again_once_workers_of_two_racks_are_idle():
    """Guard against a gang that is spread only in the first seconds of its wait.

    In these seconds waits_for_rack makes the keys of its hosts differ. A worker that
    joins later has the hosts derived again, those of the gang that keeps its rack
    first.
    """
    world = started_world(workers=8)
    for rack in range(4):
        world.submit(tasks(1, 8, label=f"r1-{rack}", long_running=True), duration=900)
    world.advance(1)
    job = world.submit(gang(2, 8, same_rack=True), duration=1)
    world.advance(0.5)
    between = world.submit(tasks(4, 8), queue_name="urgent", duration=4)
    fail_once(world, job)
    world.advance(1.7)
    world.add_worker(8)
    while not world.ended(between):
        world.advance(0.05)
    world.advance(LOST_AFTER)
    assert runs_of(world, job) == {1, 2}


def test_pass_over_a_backlog_of_gangs_ends_before_the_owner_seems_paused():
    """Guard against forecasts that grow with the racks times the waiting gangs.

    After a longer pass the owner takes itself for paused, and preempts nothing for a
    while.
    """
    workers = [worker(number, number // 5, used=8) for number in range(200)]
    runs = [
        running(f"r{number}-{part}", number, 1, run_time=15.0 + part)
        for number in range(200)
        for part in range(8)
    ]
    gangs = [
        waiting(f"g{n}", 1, size=4, same_rack=True, run_time=20.0, objective=60.0)
        for n in range(300)
    ]
    begun = process_time()
    assert placed(decide(workers, gangs, runs)) == {}
    assert process_time() - begun < PAUSE_LIMIT


def test_guaranteed_gang_begins_in_two_racks_after_an_eviction():
    """Guard against a guarantee that stops others' work and then starts nothing."""
    world = started_world(workers=4)
    for queue_name, count in (("urgent", 3), ("batch", 1)):
        for rack in range(2):
            step = tasks(count, 4, label=f"r1-{rack}", long_running=True)
            world.submit(
                step, queue_name=queue_name, organisation="prairie", duration=900
            )
        world.advance(1)
    job = world.submit(
        gang(2, 4, same_rack=True), queue_name="urgent", organisation="peachtree"
    )
    world.advance(RECLAIM_TIME)
    assert runs_of(world, job) == {1}
