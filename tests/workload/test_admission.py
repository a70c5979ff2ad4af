"""Test by which jobs the load of the fleet is judged, and what is published of it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, strategies

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import LOAD_OUTDATED, LOAD_UNREADABLE
from wasabispur_core.storage.store import encode_json, Row
from wasabispur_core.workload.admission.admission import Candidate, find_rejection
from wasabispur_core.workload.admission.load_knowledge import (
    LOAD_AGE_LIMIT,
    LoadArrived,
    LoadNeeded,
    LoadUnreadable,
    new_load_knowledge,
)
from wasabispur_core.workload.admission.load_row import (
    FleetLoad,
    LevelLoad,
    load_key,
    load_row,
    ROW_BYTES_LIMIT,
    ServiceLoad,
)
from wasabispur_core.workload.admission.published_load import PublishedLoad
from wasabispur_core.workload.admission.work import Work
from wasabispur_core.workload.jobs.spec import QueueTerms, Resources, StepSpec
from wasabispur_core.workload.rows import unpack
from wasabispur_runtime.load_watcher import load_message

CATALOGUE = ChartCatalogue()
CAPACITY = Work(cpu=1000, memory=4000, accelerators=100)
TERMS = {
    "urgent": QueueTerms(service="s", priority=0, stretch=1.5, target=0.4),
    "batch": QueueTerms(service="s", priority=1, stretch=3.0, target=1.2),
}
RUN_TIMES = {"urgent": (4.0, 6.0), "batch": (10.0, 20.0)}
BATCH_WORTHLESS_IN = 3 * (3.0 * 20.0 + 1.2)


def whole_fleet(seconds: float) -> Work:
    """Return the work that needs all accelerators for some seconds."""
    return Work(accelerators=100 * seconds)


def load(urgent=None, batch=None, **fields) -> FleetLoad:
    levels = (
        LevelLoad(priority=0, gang=True, work=urgent or {}),
        LevelLoad(priority=1, gang=True, work=batch or {}),
    )
    service = ServiceLoad(service="s", capacity=CAPACITY, levels=levels)
    return (
        FleetLoad(epoch=2, sequence=5, services=(service,), run_times=RUN_TIMES)
        if not fields
        else replace(load(urgent, batch), **fields)
    )


def job(organisation="a", queue="batch", count=4, job_id="j", **fields) -> Candidate:
    step = StepSpec(
        count=count,
        demand=Resources(cpu=1000, accelerators=1),
        gang=True,
        estimate=15.0,
    )
    return Candidate(
        job_id=job_id,
        queue=queue,
        organisation=organisation,
        terms=TERMS[queue],
        steps=(step,),
        **fields,
    )


def test_only_the_flooding_organisation_is_rejected():
    """Guard against a flood that costs others their jobs."""
    flooded = load(batch={"flood": whole_fleet(400), "a": whole_fleet(10)})
    rejection = find_rejection(job("flood"), flooded, 0.5)
    assert rejection is not None
    assert rejection.ends_in > rejection.worthless_in == BATCH_WORTHLESS_IN
    assert find_rejection(job("a"), flooded, 0.5) is None
    assert find_rejection(job("new"), flooded, 0.5) is None


def test_single_tasks_do_not_wait_for_gangs():
    """Guard against the rejection of tasks that run in the gaps beside gangs.

    In the experiment such jobs ended after 30 s with 180 s of gangs before them.
    """
    flooded = load(batch={"a": whole_fleet(400)})
    (step,) = job("a").steps
    single = replace(job("a"), steps=(replace(step, gang=False),))
    assert find_rejection(job("a"), flooded, 0.0) is not None
    assert find_rejection(single, flooded, 0.0) is None
    (service,) = flooded.services
    tasks = LevelLoad(priority=1, work={"a": whole_fleet(400)})
    flooded = load(services=(replace(service, levels=(tasks,)),))
    assert find_rejection(single, flooded, 0.0) is not None


def test_declared_estimates_neither_avoid_nor_cause_rejections():
    """Guard against wrong estimates that change the decision."""
    flooded = load(batch={"a": whole_fleet(900)})
    (step,) = job("a").steps
    for estimate in (-5.0, 0.0, 1e-6, 1e8):
        odd = replace(job("a"), steps=(replace(step, estimate=estimate),))
        assert find_rejection(odd, flooded, 0.0) is not None
        assert find_rejection(odd, load(batch={"a": whole_fleet(20)}), 0.0) is None


def test_unused_shares_are_left_to_others():
    """Guard against a limit on an organisation that has the fleet nearly to itself."""
    alone = load(batch={"flood": whole_fleet(150), "a": whole_fleet(1)})
    assert find_rejection(job("flood"), alone, 0.0) is None


def test_more_urgent_work_rejects_only_organisations_above_their_share():
    """Guard against urgent work of one that rejects the small jobs of another one."""
    busy = load(urgent={"flood": whole_fleet(300)}, batch={"a": whole_fleet(5)})
    assert find_rejection(job("a"), busy, 0.0) is None
    assert find_rejection(job("flood"), busy, 0.0) is not None


def test_less_urgent_work_is_not_ahead():
    """Guard against urgent jobs that are rejected because of a batch backlog."""
    busy = load(batch={"a": whole_fleet(4000)})
    assert find_rejection(job("a", "urgent"), busy, 0.0) is None


def test_worthless_work_is_ahead_of_less_urgent_work_only():
    """Guard against work that the planner puts last and that still rejects jobs."""
    worthless = LevelLoad(
        priority=1, gang=True, work={"a": whole_fleet(10)}, worthless=whole_fleet(4000)
    )
    service = ServiceLoad(service="s", capacity=CAPACITY, levels=(worthless,))
    assert find_rejection(job("a"), replace(load(), services=(service,)), 0.0) is None
    urgent = replace(
        service, levels=(replace(worthless, priority=0), load().services[0].levels[1])
    )
    flooded = replace(load(), services=(urgent,))
    assert find_rejection(job("a", count=90_000), flooded, 0.0) is not None


def test_guarantee_serves_urgent_jobs_whatever_the_load_is():
    """Guard against the rejection of a job that would start within its guarantee."""
    busy = load(urgent={"flood": whole_fleet(900), "a": whole_fleet(40)})
    assert find_rejection(job("a", "urgent"), busy, 0.0) is not None
    # 38 accelerators need 105 s for the 4,000 accelerator-seconds before this job.
    assert find_rejection(job("a", "urgent", guaranteed=38), busy, 0.0) is not None
    assert find_rejection(job("a", "urgent", guaranteed=70), busy, 0.0) is None
    # In 2 s the fleet may have done 200 of them.
    assert find_rejection(job("a", "urgent", guaranteed=60), busy, 0.0) is not None
    assert find_rejection(job("a", "urgent", guaranteed=60), busy, 2.0) is None


@pytest.mark.parametrize(
    "unknown",
    [
        load(batch={"a": whole_fleet(900)}, run_times={}),
        load(batch={"a": whole_fleet(900)}, services=()),
        FleetLoad(),
    ],
    ids=["run times", "services", "all"],
)
def test_unknown_load_accepts(unknown):
    """Guard against rejections by guesses, as before run times have been learned."""
    assert find_rejection(job("a"), unknown, 0.0) is None


def test_service_without_workers_or_contention_accepts():
    """Guard against rejections while all workers restart, or nothing waits."""
    (service,) = load(batch={"a": whole_fleet(900)}).services
    gone = replace(service, capacity=Work())
    assert find_rejection(job("a"), load(services=(gone,)), 0.0) is None
    calm = replace(service, levels=())
    large = job("a", count=9_000)
    assert find_rejection(large, load(services=(calm,)), 0.0) is None


def test_jobs_without_a_foreseeable_end_are_accepted():
    """Guard against an objective that is computed for jobs that have none."""
    busy = load(batch={"a": whole_fleet(900)})
    (step,) = job().steps
    lasting = replace(job(), steps=(replace(step, long_running=True),))
    assert find_rejection(job("a"), busy, 0.0) is not None
    assert find_rejection(lasting, busy, 0.0) is None
    assert find_rejection(job("a", delayed=True), busy, 0.0) is None


def test_cordon_of_a_sixth_lengthens_the_estimate():
    """Guard against an estimate by workers that get no runs."""
    busy = load(batch={"a": whole_fleet(160)})
    assert find_rejection(job("a"), busy, 0.0) is None
    (service,) = busy.services
    less = replace(service, capacity=Work(*(5 / 6 * one for one in CAPACITY)))
    assert find_rejection(job("a"), load(services=(less,)), 0.0) is not None


def test_retries_spread_over_the_time_of_the_backlog():
    """Guard against callers that all return at once, or outside the bounds."""
    busy = load(batch={"a": whole_fleet(190)})
    rejections = [
        find_rejection(job("a", job_id=f"j{n}"), busy, 0.0) for n in range(200)
    ]
    times = [one.retry_after for one in rejections if one is not None]
    assert len(times) == 200
    first = rejections[0].ends_in - rejections[0].worthless_in
    assert first <= min(times) < first + 2 < 57 < max(times) <= 60


@given(
    strategies.dictionaries(
        strategies.sampled_from("abcdef"), strategies.floats(0, 1e6), max_size=6
    ),
    strategies.dictionaries(
        strategies.sampled_from("abcdef"), strategies.floats(0, 1e6), max_size=6
    ),
    strategies.floats(0, LOAD_AGE_LIMIT),
)
def test_rejected_organisations_are_above_their_share(urgent, batch, age):
    """Guard against rejections within a share, and more of them after less work."""
    busy = load(
        {name: whole_fleet(time) for name, time in urgent.items()},
        {name: whole_fleet(time) for name, time in batch.items()},
    )
    rejection = find_rejection(job("a"), busy, age)
    if rejection is not None:
        assert rejection.own > rejection.share * rejection.worthless_in
        assert rejection.ends_in > rejection.worthless_in
        assert 1 <= rejection.retry_after <= 60
        later = find_rejection(job("a"), busy, age + 1)
        assert later is None or later.ends_in <= rejection.ends_in


def known(found, now=100.0, store_time=50.0):
    knowledge = new_load_knowledge(CATALOGUE)
    knowledge.follow(LoadArrived(load=found, store_time=store_time), now)
    return knowledge


def numbers(commands):
    return [command.number for command in commands]


def test_load_is_outdated_five_seconds_after_it_was_written():
    """Guard against rejections by the row of an owner that is gone."""
    knowledge = known(load(written_at=49.0))
    assert numbers(knowledge.follow(LoadNeeded(), 103.9)) == []
    assert knowledge.known
    assert numbers(knowledge.follow(LoadNeeded(), 104.1)) == [LOAD_OUTDATED.number]
    assert not knowledge.known
    late = known(load(written_at=10.0))
    late.follow(LoadNeeded(), 100.0)
    assert not late.known


def test_row_of_a_former_owner_that_arrives_late_is_ignored():
    """Guard against a former owner's figures after those of the new one."""
    knowledge = known(load(epoch=3, sequence=1, written_at=50.0))
    for epoch, sequence in ((2, 900), (3, 1), (3, 0)):
        late = load(epoch=epoch, sequence=sequence, written_at=51.0)
        knowledge.follow(LoadArrived(load=late, store_time=51.0), 101.0)
        assert knowledge.load.order == (3, 1)
    newest = load(epoch=4, sequence=1, written_at=52.0)
    knowledge.follow(LoadArrived(load=newest, store_time=52.0), 102.0)
    assert knowledge.load is newest


@pytest.mark.parametrize(
    "value",
    [
        {"epoch": "x"},
        {"epoch": -1},
        {"written_at": float("nan")},
        {"services": [{"service": "s", "capacity": [1, 1, float("inf")]}]},
        {"services": [{"service": "s", "capacity": [-1, 1, 1]}]},
        {"run_times": {"urgent": [2.0, 1.0]}},
        {"run_times": {"urgent": [0.0, 1.0]}},
    ],
)
def test_unreadable_row_is_unknown(value):
    """Guard against computing with figures that can't be."""
    row = Row(key=load_key(), version=1, operation_id="", value=value)
    message = load_message(row, 50.0)
    assert isinstance(message, LoadUnreadable)
    knowledge = known(load(written_at=50.0))
    assert numbers(knowledge.follow(message, 100.0)) == [LOAD_UNREADABLE.number]
    assert not knowledge.known


def test_row_is_bounded_and_survives_encoding():
    """Guard against a row beyond 8 KB, with many organisations of long names."""
    work = {f"organisation-{n:04}": Work(n, 2 * n, 3 * n) for n in range(1, 400)}
    value = load_row(load(batch=work))
    assert len(encode_json(value)) <= ROW_BYTES_LIMIT
    kept = unpack(FleetLoad, value).unwrap().services[0].levels[1].work
    assert "organisation-0399" in kept
    assert "organisation-0001" not in kept
    small = load(batch={"a": Work(1, 2, 3)})
    assert unpack(FleetLoad, load_row(small)).unwrap() == small


def test_load_is_published_after_a_change_of_a_tenth():
    """Guard against a write, and a delivery to each entry, for no change."""
    published = PublishedLoad(enabled=True)
    first = load(batch={"a": whole_fleet(10)})
    assert published.differs(first)
    published.load = first
    assert not published.differs(load(batch={"a": whole_fleet(10.9)}))
    assert published.differs(load(batch={"a": whole_fleet(11.5)}))
    assert published.differs(load(batch={"a": whole_fleet(10), "b": whole_fleet(1)}))


def test_change_of_single_tasks_beside_gangs_is_published():
    """Guard against a change that the gangs' work of the same priority hides."""
    published = PublishedLoad(enabled=True)

    def levels(seconds: float) -> FleetLoad:
        (service,) = load().services
        tasks = LevelLoad(priority=1, work={"a": whole_fleet(seconds)})
        gangs = LevelLoad(priority=1, gang=True, work={"a": whole_fleet(10)})
        return load(services=(replace(service, levels=(tasks, gangs)),))

    published.load = levels(10)
    assert not published.differs(levels(10.9))
    assert published.differs(levels(20))
