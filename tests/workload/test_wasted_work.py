"""Test how wasted work is divided into lost work and overhead."""

from __future__ import annotations

from random import Random

import pytest

from wasabispur_core.log_event import RUN_ENDED, STOP_ACCOUNTED, UNIT_PREEMPTED
from wasabispur_core.metric import WORK_WASTED
from wasabispur_core.workload.jobs.unit import RunEnded
from wasabispur_core.workload.jobs.unit_stop import CountWaste, WasteCause, WastedWork
from wasabispur_core.workload.jobs.wasted_work import wasted_work
from wasabispur_core.workload.run_times.run_progress import RunProgress
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_runtime.metrics import MetricRegistry
from wasabispur_runtime.workload_metrics import WorkloadMetrics
from wasabispur_standins.fleet_experiment import FleetExperiment
from wasabispur_standins.fleet_load import CLASSES_BY_LOAD, generate_jobs
from wasabispur_standins.stop_waste import LOST_WORK

from .test_restarted_agent import records
from .world import gang, started_world, tasks, World

AGREEMENT = 0.1
"""Relative difference up to which the account agrees with the users' count."""


def stop_two_tasks(world: World, duration: float = 5.0, **fields: bool) -> float:
    """Stop two tasks for a guaranteed gang, and return the work that users count."""
    world.submit(tasks(2, 4, **fields), queue_name="bulk", duration=30)
    world.advance(duration)
    starts = [start for start, *_ in world.starts]
    world.submit(gang(1, 8), queue_name="urgent", duration=1)
    before = world.timers.now()
    while not records(world.entries, UNIT_PREEMPTED):
        world.advance(0.05)
        assert world.timers.now() - before < 4
    stopped_at = world.timers.now()
    world.advance(4)
    return sum(stopped_at - start for start in starts)


def counted(world: World, cause: WasteCause) -> WastedWork:
    return sum(
        (one.work for one in world.waste if one.cause is cause), start=WastedWork()
    )


@pytest.mark.parametrize("duration", [1.5, 5.0, 12.0])
def test_lost_work_agrees_with_what_users_count(duration):
    """Guard against a count of lost work that contains stops, orders and restores."""
    world = started_world(workers=1)
    seconds = stop_two_tasks(world, duration)
    weight = weight_of(world)
    work = counted(world, WasteCause.PREEMPTED)
    assert work.lost == pytest.approx(seconds * weight, rel=AGREEMENT)
    assert work.overhead > 0


def weight_of(world: World) -> float:
    (weight,) = {
        unit.step.demand.weight
        for entry in world.entries
        for job in entry.fleet.jobs.values()
        if job.spec.queue == "bulk"
        for unit in job.units.values()
    }
    return weight


def test_lost_work_agrees_with_the_work_that_a_played_load_loses():
    """Guard against an account that is right for one stop, and wrong for many."""
    classes = CLASSES_BY_LOAD["misjudged"]
    jobs = generate_jobs(1.0, 60, 3, Random(1), 2, classes, ())
    experiment = FleetExperiment(12, 3, jobs, rack_size=5)
    counts, observe = [], experiment.waste.observe

    def observe_waste(commands):
        counts.extend(one for one in commands if isinstance(one, CountWaste))
        observe(commands)

    experiment.waste.observe = observe_waste
    experiment.play(60)
    lost = sum(one.work.lost for one in counts if one.cause is WasteCause.PREEMPTED)
    users = sum(
        wasted
        for (_, cause), wasted in experiment.waste.wasted.items()
        if cause == LOST_WORK
    )
    assert users > 1000
    assert lost == pytest.approx(users, rel=AGREEMENT)


@pytest.mark.parametrize("fields", [{"checkpointing": True}, {"long_running": True}])
def test_stop_of_saved_work_is_overhead(fields):
    """Guard against stops of units with checkpoints that count as lost work."""
    world = started_world(workers=1)
    stop_two_tasks(world, **fields)
    work = counted(world, WasteCause.PREEMPTED)
    assert work.lost == 0 < work.overhead
    for stop in records(world.entries, STOP_ACCOUNTED):
        assert stop["wasted"] == pytest.approx(stop["lost"] + stop["overhead"], abs=0.2)


def test_new_owner_counts_the_work_before_it():
    """Guard against an owner that counts a run only from its own first list on."""
    world = started_world(workers=1)
    world.submit(tasks(2, 4), queue_name="bulk", duration=60)
    world.advance(8)
    for index, entry in enumerate(list(world.entries)):
        if entry.fleet.active:
            world.kill_entry(index)
    world.advance(8)
    starts = [start for start, *_ in world.starts]
    assert len(starts) == 2
    weight = weight_of(world)
    world.submit(gang(1, 8), queue_name="urgent", duration=1)
    world.advance(4)
    stopped_at = world.timers.now() - 4
    work = counted(world, WasteCause.PREEMPTED)
    expected = weight * sum(stopped_at - start for start in starts)
    assert work.lost == pytest.approx(expected, rel=AGREEMENT)


@pytest.mark.parametrize("fields", [{}, {"checkpointing": True}])
def test_waits_of_an_incomplete_gang_are_lost(fields):
    """Guard against waits that users count and the account takes for saved work."""
    world = started_world(workers=2)
    world.unserved_calls.add("w1")
    job = world.submit(gang(2, 8, **fields), queue_name="urgent", duration=20)
    world.advance(4)
    ((started_at, *_),) = world.starts
    world.cancel(job)
    cancelled_at = world.timers.now()
    world.unserved_calls.clear()
    world.advance(8)
    lost = [end["lost"] for end in records(world.entries, RUN_ENDED) if end["lost"]]
    (waited,) = lost
    weight = 8 * 8 + 0.5
    assert waited == pytest.approx(weight * (cancelled_at - started_at), rel=0.15)


@pytest.mark.parametrize(("late", "waited"), [(0.5, 0.0), (1.1, 0.0), (3.0, 2.47)])
def test_waits_of_a_completed_gang_are_lost(late, waited):
    """Guard against a late member whose gang completes, so that no end counts it.

    A first list that the interval between lists explains is no late start.
    """
    world = started_world(workers=2)
    world.submit(gang(2, 8), queue_name="urgent", duration=3)
    world.advance(0.3)
    state = world.owner().fleet
    (unit,) = [unit for job in state.jobs.values() for unit in job.units.values()]
    ordered_at = unit.members[0].started_at
    for member, listed_after in zip(unit.members, (0.2, late), strict=True):
        member.progress = RunProgress()
        member.progress.update(0, False, ordered_at + listed_after)
    ended = RunEnded(index=0, kind=EndKind.DONE)
    work = wasted_work(unit, unit.members[0], ended, state, ordered_at + 9)
    assert work.lost == pytest.approx(waited * (8 * 8 + 0.5))
    assert work.overhead == 0


def test_start_is_told_from_its_first_list():
    """Guard against a run whose first list is late and that counts as a late start.

    Agents ask for a worker's lists once a second, so that the order's time is a better
    estimate.
    """
    world = started_world(workers=1)
    world.submit(tasks(1, 4), queue_name="bulk", duration=30)
    world.advance(0.3)
    state = world.owner().fleet
    (unit,) = [unit for job in state.jobs.values() for unit in job.units.values()]
    (member,) = unit.members
    member.progress = RunProgress()
    member.progress.update(0, False, member.started_at + 1.05)
    ended = RunEnded(index=0, kind=EndKind.FAILED)
    work = wasted_work(unit, member, ended, state, member.started_at + 5)
    assert work.lost == pytest.approx(4.97 * (4 * 8 + 0.5))


def test_gang_that_begins_together_wastes_nothing():
    """Guard against a wait that consists only of the time until a run is listed."""
    world = started_world(workers=4)
    world.submit(gang(8, 4), queue_name="urgent", duration=3)
    world.advance(6)
    assert len(world.starts) == 8
    assert world.waste == []


def test_metric_sums_without_rounding():
    """Guard against many small wastes that a sum of whole numbers loses."""
    registry = MetricRegistry()
    registry.configure("entry-0")
    metrics = WorkloadMetrics(registry, sink=None)
    work = WastedWork(lost=0.3, overhead=0.04)
    command = CountWaste(cause=WasteCause.FAILED, work=work)
    for _ in range(10):
        metrics.observe(command, [command], 0.0)
    series = [one for one in registry.read() if one.name == WORK_WASTED.name]
    values = {(one.labels["cause"], one.labels["part"]): one.value for one in series}
    assert values == {
        ("failed", "lost"): pytest.approx(3.0),
        ("failed", "overhead"): pytest.approx(0.4),
    }
