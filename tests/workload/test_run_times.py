"""Test what the owner learns of run times, and that it survives the owner."""

from __future__ import annotations

from math import log
from random import Random
from statistics import median

import pytest

from wasabispur.fleet_rows import decode_row
from wasabispur_core.log_event import RUN_TIMES_READ
from wasabispur_core.storage.store import encode_json, Row
from wasabispur_core.workload.jobs.spec import JobSpec, Resources, StepSpec
from wasabispur_core.workload.jobs.unit import UnitId
from wasabispur_core.workload.owner.fleet_message import JobArrived, PlanningPassDue
from wasabispur_core.workload.planning.snapshot import take_snapshot
from wasabispur_core.workload.rows import unpack
from wasabispur_core.workload.run_times.run_time import (
    EstimateUse,
    OVERHEAD_LIMIT,
    run_kind,
    RunOutcome,
    RunTimeModel,
)
from wasabispur_core.workload.run_times.run_time_row import (
    restore_run_times,
    ROW_BYTES_LIMIT,
    run_times_key,
    run_times_row,
    StoredRunTimes,
)
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_standins.simulated_owner import simulated_queue, SimulatedOwner

from .world import started_world, tasks

DONE = RunOutcome.COMPLETED


def kind(estimate, organisation="peachtree", job="j", accelerators=1):
    step = StepSpec(
        count=1, demand=Resources(accelerators=accelerators), estimate=estimate
    )
    return run_kind("batch", organisation, step, job)


def taught(count, ratio, organisation="peachtree", seconds=10.0):
    """Return a model that has seen steps whose estimates are off by a ratio."""
    model = RunTimeModel()
    teach(model, count, ratio, organisation, seconds)
    return model


def teach(model, count, ratio, organisation, seconds=10.0):
    random = Random(count)
    for number in range(count):
        actual = seconds * random.lognormvariate(0.0, 0.3)
        model.record(
            kind(actual / ratio, organisation, f"{organisation}{number}"), actual, DONE
        )
    model.refresh()


def test_unknown_run_times_are_as_declared():
    """Guard against a new owner that orders units otherwise than by the estimates."""
    model = RunTimeModel()
    assert model.expected(kind(12.0)) == 12.0
    assert model.expected(kind(0.0)) == 5.0
    assert model.remaining(kind(12.0), 4.0) == 8.0


@pytest.mark.parametrize("ratio", [0.2, 5.0])
def test_constant_error_is_corrected(ratio):
    """Guard against estimates that stay wrong by the same factor for ever."""
    model = taught(30, ratio)
    error = abs(log(model.expected(kind(8.0 / ratio)) / 8.0))
    assert error < 0.25 < abs(log(ratio))


def test_random_errors_count_less_than_usual_times():
    """Guard against forecasts that follow estimates off by up to nine tenths."""
    model, random = RunTimeModel(), Random(4)
    declared_errors, learned_errors = [], []
    for number in range(200):
        actual = 10.0 * random.lognormvariate(0.0, 0.3)
        one = kind(actual * (1 + random.uniform(-0.9, 0.9)), job=f"j{number}")
        if number >= 30:
            declared_errors.append(abs(log(one.declared / actual)))
            learned_errors.append(abs(log(model.expected(one) / actual)))
        model.record(one, actual, DONE)
        model.refresh()
    assert median(learned_errors) < 0.7 * median(declared_errors)


def test_first_tasks_of_a_step_tell_of_the_others():
    """Guard against a job of hundreds of tasks that is planned by a wrong estimate."""
    model = taught(30, 1.0)
    one = kind(2.0, job="large")
    model.record(one, 20.0, DONE)
    assert 0.75 < model.expected(one) / 20.0 < 1.0
    for _ in range(200):
        model.record(one, 20.0, DONE)
    model.refresh()
    assert model.expected(one) == pytest.approx(20.0, rel=0.05)
    assert model.expected(kind(10.0, job="other")) < 13.0


def test_model_follows_a_change():
    """Guard against a history that outweighs what tasks have become."""
    model = taught(30, 1.0)
    for number in range(12):
        model.record(kind(10.0, job=f"n{number}"), 40.0, DONE)
    model.refresh()
    assert model.expected(kind(10.0, job="new")) > 25.0


def test_overrun_is_judged_by_those_that_take_as_long():
    """Guard against runs that are expected to end at once after their estimate."""
    model = taught(30, 1.0)
    one = kind(10.0)
    assert model.remaining(one, 5.0) < 7.0
    assert model.remaining(one, 15.0) > 0.5
    assert model.remaining(one, 15.0, 0.9) > model.remaining(one, 15.0, 0.5)
    assert model.quantile(one, 0.9) > model.expected(one) > model.quantile(one, 0.1)
    assert 0.0 <= model.remaining(one, 1e9) < float("inf")


def test_interrupted_run_counts_only_beyond_the_median():
    """Guard against stopped runs that count as if tasks were so short."""
    model = taught(30, 1.0)
    before = model.expected(kind(10.0, job="new"))
    for number in range(10):
        model.record(kind(10.0, job=f"s{number}"), 1.0, RunOutcome.INTERRUPTED)
    model.refresh()
    assert model.expected(kind(10.0, job="new")) == before
    model.record(kind(10.0, job="s"), 40.0, RunOutcome.INTERRUPTED)
    assert model.expected(kind(10.0, job="s")) > 30.0


@pytest.mark.parametrize("ratio", [1e-3, 1e3, 1e-300])
@pytest.mark.parametrize("honest", [0, 1, 4])
def test_nonsense_of_one_organisation_moves_no_other(ratio, honest):
    """Guard against a caller that changes the order of others by its estimates."""

    def forecasts(ratio):
        model = RunTimeModel()
        for number in range(honest):
            teach(model, 20, 1.0, f"honest{number}")
        for shape in range(9):
            for number in range(30):
                liar = kind(10 / ratio, "liar", f"liar{number}.{shape}", shape)
                model.record(liar, 10.0, DONE)
        model.refresh()
        return [
            model.quantile(kind(declared, organisation), share)
            for organisation in ("new", "honest0")
            for declared in (0.0, 8.0, 12.0)
            for share in (0.1, 0.5, 0.9)
        ]

    for told, nonsense in zip(forecasts(1.0), forecasts(ratio), strict=True):
        assert nonsense == pytest.approx(told, rel=0.15)


def test_estimates_without_sense_are_harmless():
    """Guard against numbers with which the planner can't compute."""
    model = RunTimeModel()
    for number, estimate in enumerate((0.0, -1.0, 1e-300, 1e300, 5.0)):
        model.record(kind(estimate, job=f"j{number}"), 7.0, DONE)
    model.refresh()
    for estimate in (0.0, -1.0, 1e-300, 1e300):
        assert 0.1 < model.expected(kind(estimate)) < 1e5


def test_overhead_is_what_all_organisations_see():
    """Guard against objectives that grow with delays, or with one caller's nonsense."""
    model = taught(20, 1e-3)
    assert model.overhead("batch") == 1.0
    for number in range(4):
        teach(model, 20, 1.15, f"honest{number}")
    assert 1.05 < model.overhead("batch") < 1.2
    for number in range(9):
        teach(model, 20, 4.0, f"low{number}")
    assert model.overhead("batch") == OVERHEAD_LIMIT


def test_row_is_bounded_and_restores_the_forecasts():
    """Guard against a row that outgrows its limit, or that loses what was learned."""
    model = RunTimeModel()
    for number in range(800):
        teach(model, 20, 3.0, f"an-organisation-{number}")
    row = run_times_row(model)
    assert len(encode_json(row)) <= ROW_BYTES_LIMIT
    restored = RunTimeModel()
    restore_run_times(restored, unpack(StoredRunTimes, row).unwrap())
    last = kind(4.0, "an-organisation-799")
    assert restored.expected(last) == pytest.approx(model.expected(last), rel=0.2)
    assert restored.expected(last) > 2 * 4.0


@pytest.mark.parametrize(
    "value",
    [
        {"groups": [{"queue": "q", "organisation": "o", "actual": [3]}]},
        {"groups": [{"queue": "q"}]},
        {
            "groups": [
                {"queue": "q", "organisation": "o", "declared": [1], "actual": [0]}
            ]
        },
        {"groups": 3},
    ],
)
def test_unreadable_row_counts_as_absent(value):
    """Guard against an owner that fails on a row of another writer."""
    row = Row(key=run_times_key(), version=1, operation_id="a", value=value)
    assert decode_row(row) is None


def test_next_owner_knows_the_run_times():
    """Guard against an owner that starts from wrong estimates after each takeover."""
    world = started_world()
    for _ in range(3):
        world.submit(tasks(4), duration=6.0)
        world.advance(8)
    world.advance(6)
    assert run_times_key() in world.store.rows
    for index in range(len(world.entries)):
        world.kill_entry(index)
    world.advance(6)
    owner = world.owner()
    assert RUN_TIMES_READ.number in owner.logs
    (group,) = owner.fleet.run_times.groups
    step = tasks(1)
    expected = owner.fleet.run_times.expected(run_kind(*group[:2], step))
    assert expected > 1.5 * step.estimate


class ResumingOwner(SimulatedOwner):
    """Represent an owner whose workers list a given share of each run's work."""

    share = 0

    def percent(self, unit):
        return self.share


def played(*events):
    """Return the owner of a task, given its times, shares and ends."""
    owner = ResumingOwner(now=0.0, rack_size=4)
    owner.own([simulated_queue("batch", 1, 3.0)], [], 1)
    step = tasks(1, checkpointing=True)
    owner.decide(JobArrived(spec=JobSpec(job_id="j", queue="batch", steps=(step,))))
    for owner.now, owner.share, end in events:
        owner.confirm_workers()
        owner.decide(PlanningPassDue())
        owner.report("w000")
        if end is not None:
            owner.end(owner.state.unit(UnitId("j", 0, 0, 0)), end)
    return owner


def ended_steps(*events):
    """Return the learned seconds of a task, given its times, shares and ends."""
    steps = played(*events).state.run_times.steps
    return [seconds for runs in steps.values() for seconds in runs]


def test_progress_goes_before_the_expected_time():
    """Guard against runs that are expected to end as declared while they crawl."""
    owner = played(*((float(second), 2 * second, None) for second in range(6)))
    (unit,) = take_snapshot(owner.state, owner.now).running
    assert unit.remaining_at(5.0) == pytest.approx(45.0, rel=0.1)
    assert unit.remaining_at(15.0) == pytest.approx(35.0, rel=0.1)
    assert unit.ends_in == pytest.approx(45.0, rel=0.1)


def test_waiting_unit_needs_no_time_for_saved_work():
    """Guard against a resumed unit that counts as late for work it has done."""
    owner = played((0.0, 0, None), (1.5, 75, EndKind.STOPPED))
    (unit,) = take_snapshot(owner.state, owner.now).waiting
    assert unit.run_time == unit.remaining == pytest.approx(0.25 * 2.0)


def test_resumed_run_tells_the_time_of_the_whole_task():
    """Guard against run times that leave out the work before a checkpoint."""
    stopped = (4.0, 40, EndKind.STOPPED)
    first = (0.0, 0, None)
    assert ended_steps(first, (10.0, 99, EndKind.DONE)) == [pytest.approx(10.0)]
    resumed = ended_steps(first, stopped, (5.0, 45, None), (10.5, 99, EndKind.DONE))
    assert resumed[-1] == pytest.approx(10.0)
    unlisted = ended_steps(first, stopped, (5.0, 0, None), (10.5, 0, EndKind.DONE))
    assert unlisted == ended_steps(first, stopped)


@pytest.mark.parametrize("use", [EstimateUse.NEEDS, EstimateUse.ALL])
def test_objective_follows_the_learned_time_only_with_all(use):
    """Guard against a job counted as late because its caller declared a tenth."""
    world = started_world()
    owner = world.owner()
    owner.fleet.run_times.use = use
    first = world.submit(tasks(200, 8, tasks_per_worker=1), duration=8.0)
    world.advance(12)
    units = take_snapshot(owner.fleet, world.timers.now()).waiting
    unit = next(one for one in units if one.unit_id.job_id == first)
    assert 7.0 < unit.run_time < 9.5
    assert unit.remaining == unit.run_time
    declared_span, learned_span = 2.0 * 2.0 + 1.0, 2.0 * unit.run_time + 1.0
    span = learned_span if use is EstimateUse.ALL else declared_span
    assert unit.target_span == pytest.approx(span)
