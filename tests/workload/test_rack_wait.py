"""Test how long units wait for the rack that they prefer."""

from __future__ import annotations

from math import inf

import pytest

from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.jobs.unit import UnitId
from wasabispur_core.workload.planning.plan import Snapshot, Wait, WaitReason
from wasabispur_core.workload.planning.planner import Planner

from .test_planner import decide, placed, running, stopped, waiting, worker
from .world import gang, started_world, tasks

LOST_AFTER = 3.0
"""Seconds without a run, in a service that is half empty, after which a job is lost."""


def fleet(used: int = 8) -> list:
    """Return two workers in rack 0 that are in use, and six idle ones in others."""
    near = [worker(number, 0, used=used) for number in range(2)]
    return near + [worker(number, 1 + number // 4) for number in range(2, 8)]


def rack_runs(run_time: float, **fields) -> list:
    """Return the runs that fill the workers in rack 0."""
    return [
        running(f"r{number}", number, 8, run_time=run_time, **fields)
        for number in range(2)
    ]


def reasons(decisions) -> set[WaitReason]:
    return {one.reason for one in decisions if isinstance(one, Wait)}


@pytest.mark.parametrize(
    "step",
    [
        gang(1, 8, data_rack="r1-0"),
        tasks(2, 8, data_rack="r1-0"),
        tasks(2, 8, data_rack="r1-0", long_running=True),
        gang(2, 8, data_rack="r1-0", same_rack=True),
    ],
    ids=["gang", "tasks", "lasting", "one rack"],
)
def test_job_starts_elsewhere_if_lasting_tasks_fill_its_rack(step):
    """Guard against a job that waits without end for room behind lasting tasks."""
    world = started_world(workers=8)
    world.submit(tasks(2, 8, data_rack="r1-0", long_running=True), duration=900)
    world.advance(1)
    job = world.submit(step, duration=60)
    world.advance(LOST_AFTER)
    assert any(task.startswith(job) for _, task, _, _ in world.starts)


def test_gang_that_no_worker_of_its_rack_can_hold_starts_elsewhere():
    """Guard against a gang that waits for more room than its rack has when idle."""
    wide = waiting("wide", 8, size=3, data_rack="r1-0")
    assert len(placed(decide(fleet(used=0), [wide]))["wide"]) == 3


def test_gang_takes_a_single_other_rack_before_it_is_spread():
    """Guard against a gang that loses both preferences when one has to go."""
    unit = waiting("gang", 8, size=2, data_rack="r1-0", same_rack=True)
    found = placed(decide(fleet(), [unit], rack_runs(inf)))["gang"]
    assert set(found) <= {"w2", "w3"} or set(found) <= {"w4", "w5", "w6", "w7"}


def test_gang_is_spread_if_every_rack_is_taken_by_lasting_tasks():
    """Guard against a gang that waits without end for a rack to itself."""
    workers = [worker(0, 0), worker(1, 0, used=8), worker(2, 1, used=8), worker(3, 1)]
    lasting = [running("a", 1, 8, run_time=inf), running("b", 2, 8, run_time=inf)]
    unit = waiting("gang", 8, size=2, same_rack=True)
    assert set(placed(decide(workers, [unit], lasting))["gang"]) == {"w0", "w3"}


def test_unit_waits_for_a_run_that_ends_soon_in_its_rack():
    """Guard against a run of several times its length to save a short wait."""
    unit = waiting("unit", 8, data_rack="r1-0", run_time=10.0)
    decisions = decide(fleet(), [unit], rack_runs(1.0))
    assert placed(decisions) == {}
    assert reasons(decisions) == {WaitReason.RACK}


def test_unit_does_not_wait_longer_than_the_other_rack_costs():
    """Guard against a wait that ends later than a run elsewhere."""
    busy = [running("x", number, 7, priority=0) for number in range(2, 8)]
    workers = [worker(number, number // 2, used=7) for number in range(8)]
    unit = waiting("unit", 1, data_rack="r1-0", run_time=4.0)
    for run_time, chosen in ((3.0, {}), (9.0, {"unit"})):
        near = [running(f"r{n}", n, 8, run_time=run_time) for n in range(2)]
        full = [worker(n, 0, used=8) for n in range(2)] + workers[2:]
        assert set(placed(decide(full, [unit], [*near, *busy]))) == set(chosen)


def test_wait_ends_if_the_runs_in_the_rack_end_late():
    """Guard against a wait that goes on as long as the end seems near."""
    unit = waiting("unit", 8, data_rack="r1-0", run_time=4.0, objective=900.0)
    workers = [worker(n, n // 2, used=8 if n < 2 else 7) for n in range(8)]
    unit_runs = rack_runs(1.0)
    now = 4.5
    assert set(placed(decide([*workers, worker(8, 4)], [unit], unit_runs, now))) == {
        "unit"
    }


def test_job_without_a_run_starts_within_the_limit_in_a_quiet_service():
    """Guard against a job that counts as lost though its wait would pay."""
    unit = waiting("unit", 8, data_rack="r1-0", run_time=100.0)
    assert placed(decide(fleet(), [unit], rack_runs(5.0))).keys() == {"unit"}
    assert placed(decide(fleet(), [unit], rack_runs(1.0), now=2.1)).keys() == {"unit"}
    beside = running("unit", 7, 1)
    assert placed(decide(fleet(), [unit], [*rack_runs(5.0), beside])) == {}


def test_units_beyond_the_room_that_comes_free_start_elsewhere():
    """Guard against many units that each expect the same room."""
    units = [
        waiting(f"u{n}", 8, data_rack="r1-0", run_time=3.0, objective=20.0)
        for n in range(5)
    ]
    found = placed(decide(fleet(), units, rack_runs(1.0)))
    assert set(found) == {"u2", "u3", "u4"}


def test_room_freed_in_another_rack_is_kept():
    """Guard against further preemptions for a unit whose room is being freed."""
    workers = [worker(0, 0, used=8), worker(1, 1, used=8)]
    near = running("near", 0, 8, guaranteed=True, priority=0, run_time=inf)
    victim = running("victim", 1, 8)
    unit = waiting("unit", 8, priority=0, guaranteed=True, data_rack="r1-0")
    planner = Planner()
    first = planner.decide(
        Snapshot(
            now=0.0, workers=tuple(workers), waiting=(unit,), running=(near, victim)
        )
    )
    assert stopped(first) == {"victim"}
    stopping = running("victim", 1, 8, stopping=True)
    again = planner.decide(
        Snapshot(
            now=0.1, workers=tuple(workers), waiting=(unit,), running=(near, stopping)
        )
    )
    assert stopped(again) == set()
    assert planner.reservations == {UnitId("unit", 0, 0, 0): ("w1",)}
    freed = [workers[0], worker(1, 1)]
    last = planner.decide(
        Snapshot(now=0.5, workers=tuple(freed), waiting=(unit,), running=(near,))
    )
    assert placed(last) == {"unit": ["w1"]}


def test_wide_step_uses_its_rack_and_others():
    """Guard against a step that keeps to a rack which needs many rounds for it."""
    world = started_world(workers=8)
    job = world.submit(tasks(16, 8, data_rack="r1-0"), duration=1)
    world.advance(8)
    assert world.state_of(job).job_state is JobState.COMPLETED
