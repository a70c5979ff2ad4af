"""Test that each wait of a unit ends, and lasts no longer than it pays."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from wasabispur_core.workload.jobs.crash_history import NO_CRASHES
from wasabispur_core.workload.planning.plan import Snapshot, Trust, Wait, WaitReason
from wasabispur_core.workload.planning.planner import Planner
from wasabispur_core.workload.planning.rack_forecast import RackForecast
from wasabispur_core.workload.planning.rack_wait import IDLE_JOB_WAIT
from wasabispur_core.workload.planning.snapshot import (
    ISOLATION_TIME,
    ISOLATION_WAIT_TIME,
    RACK_WAIT_TIME,
    REPORT_AGE_LIMIT,
    REPORT_WAIT_TIME,
)
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_standins.simulated_worker import SimulatedWorker

from .test_planner import decide, placed, running, stopped, waiting, worker
from .world import HEARTBEAT_INTERVAL, started_world, tasks

LOST_AFTER = 3.0
"""Seconds without a run, in a service that is half empty, after which a job is lost."""


def snapshot(now: float, workers, waiting_units, running_units=()) -> Snapshot:
    return Snapshot(
        now=now,
        workers=tuple(workers),
        waiting=tuple(waiting_units),
        running=tuple(running_units),
    )


def test_room_freed_in_another_rack_is_used():
    """Guard against a unit that waits without end beside the room freed for it.

    The unit kept its reservation in another rack, but was only placed in its own.
    """
    near, far = worker(0, 0, used=8), worker(1, 1, used=8)
    lasting = running("near", 0, 8, guaranteed=True, priority=0, run_time=inf)
    victim = running("victim", 1, 8)
    unit = waiting("unit", 8, priority=0, guaranteed=True, data_rack="r1-0")
    planner = Planner()
    decisions = planner.decide(snapshot(0.0, [near, far], [unit], [lasting, victim]))
    assert stopped(decisions) == {"victim"}
    stopping = replace(victim, stopping=True)
    decisions = planner.decide(snapshot(0.1, [near, far], [unit], [lasting, stopping]))
    assert placed(decisions) == {}
    decisions = planner.decide(snapshot(0.5, [near, worker(1, 1)], [unit], [lasting]))
    assert placed(decisions) == {"unit": ["w1"]}


def lasting(number: int):
    """Return a task without an end that fills a worker."""
    return running(f"l{number}", number, 8, run_time=inf, priority=0)


def taken_for_good(first, **fields) -> tuple[list, list]:
    """Return a worker and two that lasting tasks fill, and these tasks."""
    full = [worker(number, used=8) for number in (1, 2)]
    return [first, *full], [lasting(1), lasting(2)]


@pytest.mark.parametrize(
    ("attempts_left", "latest"),
    # The last attempt waits until the job, due at 10 s, has no value at 30 s.
    [(2, 4.0), (1, 28.0)],
)
def test_unit_is_tried_again_where_it_failed(attempts_left, latest):
    """Guard against a unit that waits without end for room behind lasting tasks.

    The unit had failed on the only worker that comes free.
    """
    workers, units = taken_for_good(worker(0))
    unit = waiting(
        "unit",
        failed_on=frozenset({"w0"}),
        attempts_left=attempts_left,
        run_time=4.0,
        remaining=2.0,
    )
    (decision,) = decide(workers, [unit], units, now=latest - 0.1)
    assert isinstance(decision, Wait)
    assert decision.reason is WaitReason.SUSPICION
    assert placed(decide(workers, [unit], units, now=latest)) == {"unit": ["w0"]}


@pytest.mark.parametrize("attempts_left", [1, 2])
def test_job_without_a_run_is_tried_soon_in_a_quiet_service(attempts_left):
    """Guard against a job that counts as lost, since it runs nothing beside free room.

    All workers with its label but the one on which it failed were taken for good.
    """
    workers, units = taken_for_good(worker(0))
    others = [worker(number, labels=("b", "r1-0")) for number in range(3, 8)]
    unit = waiting(
        "unit",
        label="a",
        failed_on=frozenset({"w0"}),
        attempts_left=attempts_left,
        run_time=60.0,
    )
    assert placed(decide([*workers, *others], [unit], units, now=1.9)) == {}
    found = placed(decide([*workers, *others], [unit], units, now=2.1))
    assert found == {"unit": ["w0"]}


@pytest.mark.parametrize("attempts_left", [1, 2])
def test_worker_on_trial_beside_a_lasting_task_gets_a_unit(attempts_left):
    """Guard against a worker that is on trial for ever.

    A lasting task there never ended, so that no other unit could show that the worker
    is sound; a last attempt was never made on trial.
    """
    lasting_step = {("l0", 0, 0): 1}
    first = worker(0, used=1, trust=Trust.TRIAL, tasks_of_step=lasting_step)
    workers, units = taken_for_good(first)
    units.append(running("l0", 0, 1, run_time=inf, priority=0))
    unit = waiting("unit", attempts_left=attempts_left, run_time=4.0, remaining=2.0)
    assert placed(decide(workers, [unit], units, now=3.9)) == {}
    assert placed(decide(workers, [unit], units, now=28.0)) == {"unit": ["w0"]}


@pytest.mark.parametrize(
    ("attempts_left", "latest"),
    # The last attempt waits until the job, due at 10 s, has no value at 30 s.
    [(2, IDLE_JOB_WAIT), (1, 28.0)],
)
def test_suspected_worker_gets_a_unit_of_an_idle_job_in_a_quiet_service(
    attempts_left, latest
):
    """Guard against a job that runs nothing beside a worker for the whole suspicion.

    Another unit gets nothing there: the run may fail.
    """
    workers, units = taken_for_good(worker(0, trust=Trust.NONE))
    others = [worker(number, labels=("b", "r1-0")) for number in range(3, 8)]
    fields = {"label": "a", "attempts_left": attempts_left, "run_time": 4.0}
    waits = [waiting(name, **fields) for name in ("i", "j")]
    assert placed(decide([*workers, *others], waits, units, now=latest - 0.1)) == {}
    found = placed(decide([*workers, *others], waits, units, now=latest + 0.1))
    assert list(found.values()) == [["w0"]]


def test_suspected_worker_gets_no_unit_of_a_backlog():
    """Guard against a worker that uses up the attempts of all waiting units.

    A worker that fails each run is always free, and a backlog waits long.
    """
    workers, units = taken_for_good(worker(0, trust=Trust.NONE))
    unit = waiting("unit", attempts_left=2, run_time=4.0)
    assert placed(decide(workers, [unit], units, now=100.0)) == {}


def test_job_starts_in_time_on_a_worker_that_other_jobs_brought_under_suspicion():
    """Guard against a job that is lost since others failed by their own fault.

    Two jobs failed on the only worker of their label that wasn't taken for good, and a
    third one waited there for the 8 s of the suspicion.
    """
    world = started_world(workers=8)
    world.submit(tasks(1, 8, label="r1-0", long_running=True), duration=900)
    world.advance(1)
    for _ in range(2):
        failing = world.submit(tasks(1, 4, label="r1-0"), duration=0.3)
        world.failing_jobs.add(failing)
    world.advance(1)
    fleet = world.owner().fleet
    assert any(one.suspected_until > fleet.ticked_at for one in fleet.workers.values())
    job = world.submit(tasks(1, 4, label="r1-0"), duration=1)
    world.advance(LOST_AFTER)
    assert any(task.startswith(job) for _, task, _, _ in world.starts)


def test_caution_does_not_delay_a_unit_without_another_choice():
    """Guard against a wait for workers that no unit may ever use."""
    unit = waiting("unit", failed_on=frozenset({"w0", "w1"}))
    assert placed(decide([worker(0), worker(1)], [unit]))["unit"]
    (decision,) = decide([worker(0, used=8)], [waiting("unit")])
    assert isinstance(decision, Wait)
    assert decision.reason is WaitReason.NO_ROOM


def test_job_that_failed_beside_lasting_tasks_is_completed():
    """Guard against a job with an attempt left that runs nothing any more."""
    world = started_world(workers=2)
    world.submit(tasks(1, 8, long_running=True), duration=900)
    world.advance(1)
    (busy,) = [one.worker_id for one in world.workers.values() if one.runs]
    (free,) = [one for one in world.workers.values() if one.worker_id != busy]
    free.fails_runs = True
    job = world.submit(tasks(1, 8), duration=4)
    world.advance(1)
    assert any(task.startswith(job) for task in world.failures)
    free.fails_runs = False
    world.advance(10)
    assert world.ended(job)


def test_unit_that_its_rack_refuses_starts_elsewhere(monkeypatch):
    """Guard against a worker that refuses a unit again and again while others idle.

    The owner saw room on one worker of the unit's rack, which refused each start, and
    a lasting task held the other one.
    """
    world = started_world(workers=4)
    world.submit(tasks(1, 8, data_rack="r1-0", long_running=True), duration=900)
    world.advance(1)
    (refusing,) = [
        one for one in world.workers.values() if one.rack == "r1-0" and not one.runs
    ]
    refuse_starts(monkeypatch, refusing)
    job = world.submit(tasks(1, 8, data_rack="r1-0"), duration=1)
    world.advance(3)
    assert any(task.startswith(job) for _, task, _, _ in world.starts)


def test_worker_that_refused_a_unit_is_asked_again(monkeypatch):
    """Guard against a unit that waits for good because its only free worker refused."""
    world = started_world(workers=2)
    world.submit(tasks(1, 8, long_running=True), duration=900)
    world.advance(1)
    (refusing,) = [one for one in world.workers.values() if not one.runs]
    with monkeypatch.context() as context:
        refuse_starts(context, refusing)
        job = world.submit(tasks(1, 8), duration=1)
        world.advance(6)
    world.advance(4)
    assert world.ended(job)


def test_void_preference_needs_no_forecast(monkeypatch):
    """Guard against a pass that is many times slower than without waits for racks.

    A forecast over all workers was made for each gang that no rack could hold, although
    such a gang gains nothing from waiting for one.
    """
    forecasts = []
    monkeypatch.setattr(
        RackForecast,
        "expected_wait",
        lambda self, unit, *_: forecasts.append(unit) or (inf, ""),
    )
    workers = [worker(number, number, used=8) for number in range(4)]
    gang = waiting("gang", 8, size=2, same_rack=True)
    (decision,) = decide(workers, [gang], [running("r", n, 8) for n in range(4)])
    assert decision.reason is WaitReason.NO_ROOM
    assert not forecasts


def test_avoided_worker_is_used_if_it_alone_has_room():
    """Guard against a unit that waits for others than a worker that lost its run."""
    workers, units = taken_for_good(worker(0))
    unit = waiting("unit", avoided_workers=frozenset({"w0"}))
    assert placed(decide(workers, [unit], units)) == {"unit": ["w0"]}


def test_rack_whose_workers_never_report_is_given_up():
    """Guard against a unit that waits without end for workers that left unnoticed."""
    world = started_world(workers=4)
    for one in world.workers.values():
        one.silent = one.rack == "r1-0"
    world.advance(REPORT_AGE_LIMIT + 2 * HEARTBEAT_INTERVAL)
    job = world.submit(tasks(1, 8, data_rack="r1-0"), duration=1)
    world.advance(RACK_WAIT_TIME + 1.0)
    assert any(task.startswith(job) for _, task, _, _ in world.starts)


def test_settling_ends_although_a_worker_stays_silent():
    """Guard against an urgent job that waits for a report before others are stopped."""
    world = started_world(workers=2)
    world.submit(tasks(2, 8), queue_name="bulk", duration=900)
    world.advance(1)
    next(iter(world.workers.values())).silent = True
    world.kill_entry(world.entries.index(world.owner()))
    while world.owner() is None:
        world.advance(0.1)
    urgent = world.submit(tasks(1, 8), queue_name="urgent", duration=1, entry=1)
    world.advance(REPORT_WAIT_TIME + 3.0)
    assert any(task.startswith(urgent) for _, task, _, _ in world.starts)


def test_isolation_ends_on_a_busy_fleet():
    """Guard against a dangerous unit that waits for a worker that runs nothing."""
    world = started_world(workers=1)
    world.submit(tasks(1, 1, long_running=True), duration=900)
    world.advance(1)
    job = world.submit(tasks(1, 1), duration=1)
    world.advance(0.2)
    (unit,) = world.owner().fleet.jobs[job].units.values()
    unit.crashes = NO_CRASHES.after_crash(0, 0.1).after_crash(0, 0.1)
    begun = unit.run
    world.owner().fleet.view.changed_units.add(unit.unit_id)
    world.workers["w0"].end(f"{job}.0.0.0", EndKind.LAPSED)
    world.advance(1)
    assert unit.run == begun
    world.advance(ISOLATION_WAIT_TIME)
    assert unit.run == begun + 1


def test_worker_closed_by_a_dangerous_unit_opens_again():
    """Guard against a worker that gets no unit beside a dangerous one that runs on."""
    world = started_world(workers=1)
    job = world.submit(tasks(1, 1), duration=900)
    world.advance(1)
    (unit,) = world.owner().fleet.jobs[job].units.values()
    unit.crashes = NO_CRASHES.after_crash(0, 0.1).after_crash(0, 0.1)
    other = world.submit(tasks(1, 1), duration=1)
    world.advance(ISOLATION_TIME + 1.0)
    assert any(task.startswith(other) for _, task, _, _ in world.starts)


def test_reservation_ends_with_the_room_of_its_worker():
    """Guard against a reservation whose worker can't host the unit any more."""
    full = [worker(0, used=8), worker(1, used=8)]
    victims = [running("v0", 0, 8, lost_work=1.0), running("v1", 1, 8, lost_work=2.0)]
    unit = waiting("unit", 8, priority=0, guaranteed=True)
    planner = Planner()
    decisions = planner.decide(snapshot(0.0, full, [unit], victims))
    assert stopped(decisions) == {"v0"}
    # Another run has taken the room that the first victim released.
    taken = [running("other", 0, 8, guaranteed=True, priority=0), victims[1]]
    decisions = planner.decide(snapshot(1.0, full, [unit], taken))
    assert stopped(decisions) == {"v1"}


@pytest.mark.parametrize(
    "fields",
    [{"data_rack": "r1-9"}, {"failed_on": frozenset({"w9"})}],
    ids=["data without workers", "failed before"],
)
def test_gang_is_spread_if_no_rack_has_room_for_good(fields):
    """Guard against a gang that waits for one rack although it may be spread.

    The workers of a gang that may be spread were looked up under the same key as those
    of one that keeps to a rack.
    """
    workers = [worker(number, number, used=4) for number in range(2)]
    units = [running(f"l{n}", n, 4, run_time=inf, priority=0) for n in range(2)]
    gang = waiting("gang", 1, size=5, same_rack=True, **fields)
    (decision,) = decide(workers, [gang], units, now=9.0)
    assert {chosen.worker_id for chosen in decision.placement} == {"w0", "w1"}


def test_unit_does_not_wait_for_a_stop_without_effect():
    """Guard against a unit that waits without end for a run that never stops.

    Its worker went on reporting the run, and the unit kept its reservation there.
    """
    full = [worker(0, used=8), worker(1, used=8)]
    victims = [running("v0", 0, 8, lost_work=1.0), running("v1", 1, 8, lost_work=2.0)]
    unit = waiting("unit", 8, priority=0, guaranteed=True)
    planner = Planner()
    decisions = planner.decide(snapshot(0.0, full, [unit], victims))
    assert stopped(decisions) == {"v0"}
    stopping = [replace(victims[0], stopping=True), victims[1]]
    unchanged = replace(
        snapshot(0.1, full, [unit], stopping), changed=frozenset({"w0"})
    )
    assert stopped(planner.decide(unchanged)) == set()
    unchanged = replace(unchanged, now=3.9, changed=frozenset())
    assert stopped(planner.decide(unchanged)) == set()
    unchanged = replace(unchanged, now=4.2)
    assert stopped(planner.decide(unchanged)) == {"v1"}


def test_late_job_is_placed_beside_newcomers_in_a_half_empty_service():
    """Guard against a job without value that goes last for ever though it has room."""
    workers = [worker(number, used=8 if number < 4 else 0) for number in range(8)]
    late = waiting("late", 8, size=2, objective=-90.0)
    newcomers = [waiting(f"n{n}", 1, objective=99.0) for n in range(16)]
    assert "late" in placed(decide(workers, [*newcomers, late]))


def refuse_starts(monkeypatch, refusing: SimulatedWorker) -> None:
    """Let a worker refuse all starts for want of room."""
    start = SimulatedWorker.start

    def refuse(worker, run, epoch, lease_end):
        return "room" if worker is refusing else start(worker, run, epoch, lease_end)

    monkeypatch.setattr(SimulatedWorker, "start", refuse)
