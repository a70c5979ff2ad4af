"""Test the planner: order, placement, preemption, evacuation and moves of units."""

from __future__ import annotations

from dataclasses import replace
from math import inf

from hypothesis import given, strategies as st

from wasabispur_core.workload.jobs.spec import Resources
from wasabispur_core.workload.jobs.unit import UnitId, WorkerRef
from wasabispur_core.workload.planning import pass_eviction, planning_pass
from wasabispur_core.workload.planning.plan import (
    Evacuate,
    Move,
    Place,
    Preempt,
    RunningUnit,
    Snapshot,
    Trust,
    Wait,
    WaitingUnit,
    WaitReason,
    WorkerSnapshot,
)
from wasabispur_core.workload.planning.planner import plan
from wasabispur_core.workload.planning.unit_placement import ORDERS_LIMIT_BYTES

CAPACITY = Resources(cpu=64_000, memory=128_000, accelerators=8)


def worker(number: int, rack: int = 0, used: int = 0, **fields) -> WorkerSnapshot:
    values = {
        "worker_ref": worker_ref(number),
        "service": "s",
        "data_centre": "a1",
        "rack": f"r1-{rack}",
        "labels": ("a", f"r1-{rack}"),
        "capacity": CAPACITY,
        "free": CAPACITY - demand(used),
        "ready": True,
    }
    return WorkerSnapshot(**{**values, **fields})


def worker_ref(number: int) -> WorkerRef:
    return WorkerRef(worker_id=f"w{number}", incarnation="1")


def demand(accelerators: int) -> Resources:
    return Resources(cpu=100, memory=100, accelerators=accelerators)


def waiting(name: str, accelerators: int = 1, size: int = 1, **fields) -> WaitingUnit:
    values = {
        "unit_id": UnitId(name, 0, 0, 0),
        "service": "s",
        "organisation": "o",
        "priority": 1,
        "guaranteed": False,
        "demand": demand(accelerators),
        "size": size,
        "objective": 10.0,
        "target_span": 10.0,
        "remaining": 2.0,
    }
    return WaitingUnit(**{**values, **fields})


def running(name: str, number: int, accelerators: int, **fields) -> RunningUnit:
    values = {
        "unit_id": UnitId(name, 0, 0, 0),
        "priority": 2,
        "organisation": "p",
        "guaranteed": False,
        "demand": demand(accelerators),
        "placement": (worker_ref(number),),
        "lost_work": 10.0,
    }
    return RunningUnit(**{**values, **fields})


def decide(workers, waiting_units, running_units=(), now: float = 0.0) -> list:
    return plan(
        Snapshot(
            now=now,
            workers=tuple(workers),
            waiting=tuple(waiting_units),
            running=tuple(running_units),
        )
    )


def placed(decisions) -> dict[str, list[str]]:
    return {
        one.unit_id.job_id: [chosen.worker_id for chosen in one.placement]
        for one in decisions
        if isinstance(one, Place)
    }


def stopped(decisions) -> set[str]:
    return {one.unit_id.job_id for one in decisions if isinstance(one, Preempt)}


def test_urgent_unit_is_placed_before_a_backlog_of_lower_priority():
    """Guard against an urgent unit that waits behind a backlog of batch units."""
    flood = [waiting(f"bulk{n}", 8, priority=2) for n in range(50)]
    urgent = waiting("urgent", 8, priority=0)
    assert placed(decide([worker(0)], [*flood, urgent])) == {"urgent": ["w0"]}


def test_unit_that_can_meet_its_objective_is_placed_before_late_units():
    """Guard against placing a job without value before one that can be in time."""
    hopeless = waiting("hopeless", 8, objective=-100.0)
    late = waiting("late", 8, objective=1.0)
    timely = waiting("timely", 8, objective=20.0)
    assert set(placed(decide([worker(0)], [hopeless, late, timely]))) == {"timely"}
    assert set(placed(decide([worker(0)], [hopeless, late]))) == {"late"}


def test_small_tasks_leave_whole_workers_free():
    """Guard against free resources spread so that no large task fits anywhere."""
    small = [waiting(f"s{n}", 1, priority=0) for n in range(4)]
    wide = waiting("wide", 8, priority=1)
    found = placed(decide([worker(0), worker(1)], [*small, wide]))
    assert len({name for n in range(4) for name in found[f"s{n}"]}) == 1
    assert "wide" in found


def test_gang_waits_for_a_single_rack():
    """Guard against a gang placed over two racks, which takes several times as long."""
    workers = [worker(0, 0), worker(1, 0, used=8), worker(2, 1, used=8), worker(3, 1)]
    gang = waiting("gang", 8, size=2, same_rack=True)
    assert placed(decide(workers, [gang])) == {}
    assert set(placed(decide([worker(0, 0), worker(1, 0)], [gang]))["gang"]) == {
        "w0",
        "w1",
    }


def test_gang_that_no_rack_holds_is_spread():
    """Guard against a gang that waits forever because every rack is too small."""
    workers = [worker(0, 0), worker(1, 1)]
    gang = waiting("gang", 8, size=2, same_rack=True)
    assert set(placed(decide(workers, [gang]))["gang"]) == {"w0", "w1"}


def test_placement_satisfies_the_constraints_of_a_step():
    """Guard against a task on a worker without its label or outside its data's rack.

    Also checks the limit of tasks per worker.
    """
    workers = [worker(0, 0), worker(1, 1, labels=("b", "r1-1"))]
    assert placed(decide(workers, [waiting("x", label="b")])) == {"x": ["w1"]}
    assert placed(decide(workers, [waiting("x", data_rack="r1-1")])) == {"x": ["w1"]}
    tasks = [
        replace(waiting("j", tasks_per_worker=1), unit_id=UnitId("j", 0, 0, index))
        for index in range(3)
    ]
    decisions = decide(workers, tasks)
    assert len([one for one in decisions if isinstance(one, Place)]) == 2
    assert len([one for one in decisions if isinstance(one, Wait)]) == 1


def test_wait_reason_distinguishes_unsuitable_from_loaded_workers():
    """Guard against the same wait reason whether no worker fits or all are loaded."""
    [wait] = decide([worker(0)], [waiting("x", 9)])
    assert wait.reason is WaitReason.NO_WORKER
    [wait] = decide([worker(0, used=8)], [waiting("x", 1)])
    assert wait.reason is WaitReason.NO_ROOM


def test_orders_of_one_worker_stay_under_the_row_limit():
    """Guard against an orders row larger than the store accepts."""
    payload = ORDERS_LIMIT_BYTES // 3
    tasks = [waiting(f"x{n}", 0, payload_bytes=payload) for n in range(10)]
    assert len(placed(decide([worker(0)], tasks))) == 3


def test_guarantee_is_reclaimed_from_the_cheapest_worker():
    """Guard against preemptions that lose more work than the guarantee requires.

    When victims were chosen by priority alone, 41 units were stopped.
    """
    workers = [worker(0, used=8), worker(1, used=8), worker(2, used=8)]
    units = [
        running("dear", 0, 8, lost_work=900.0),
        running("cheap", 1, 8, lost_work=5.0),
        running("again", 2, 8, lost_work=5.0, preemptions=3),
    ]
    decisions = decide(workers, [waiting("own", 8, priority=0, guaranteed=True)], units)
    assert stopped(decisions) == {"cheap"}


def test_unneeded_victims_are_spared():
    """Guard against stopping small units in addition to one that suffices."""
    workers = [worker(0, used=8)]
    units = [running(f"small{n}", 0, 1, lost_work=0.1) for n in range(4)]
    units.append(running("large", 0, 4, lost_work=1.0))
    own = waiting("own", 4, priority=0, guaranteed=True)
    assert len(stopped(decide(workers, [own], units))) in (1, 4)


def test_resources_being_released_cause_no_further_preemption():
    """Guard against further victims in each pass while the first ones are stopping."""
    workers = [worker(0, used=8), worker(1, used=8)]
    units = [
        running("stopping", 0, 8, stopping=True),
        running("other", 1, 8),
    ]
    own = waiting("own", 8, priority=0, guaranteed=True)
    later = waiting("later", 8, priority=1)
    decisions = decide(workers, [own, later], units)
    assert stopped(decisions) == set()
    assert placed(decisions) == {}


def test_freed_resources_are_kept_for_the_guarantee():
    """Guard against a less urgent unit that gets resources freed for another one."""
    workers = [worker(0, used=7)]
    units = [running("victim", 0, 7)]
    own = waiting("own", 8, priority=0, guaranteed=True)
    small = waiting("small", 1, priority=2)
    decisions = decide(workers, [own, small], units)
    assert stopped(decisions) == {"victim"}
    assert placed(decisions) == {}


def test_guaranteed_unit_is_never_preempted():
    """Guard against a guarantee that is met by violating another one."""
    workers = [worker(0, used=8)]
    units = [running("theirs", 0, 8, guaranteed=True)]
    own = waiting("own", 8, priority=0, guaranteed=True)
    assert stopped(decide(workers, [own], units)) == set()


def test_urgent_unit_without_a_guarantee_preempts_only_at_low_cost():
    """Guard against preemptions that lose too much work for an unguaranteed unit."""
    workers = [worker(0, used=8)]
    urgent = waiting("urgent", 8, priority=0)
    dear = [running("dear", 0, 8, lost_work=500.0)]
    cheap = [running("cheap", 0, 8, lost_work=0.0)]
    assert stopped(decide(workers, [urgent], dear)) == set()
    cheap_decisions = decide(workers, [replace(urgent, remaining=30.0)], cheap)
    assert stopped(cheap_decisions) == {"cheap"}


def test_unit_that_cannot_end_before_its_worker_leaves_is_evacuated():
    """Guard against a run that is lost with a worker that announced its leaving."""
    units = [
        running("long", 0, 1, ends_in=9.0, leaves_in=4.0),
        running("short", 0, 1, ends_in=2.0, leaves_in=4.0),
        running("staying", 1, 1, ends_in=9.0, leaves_in=inf),
    ]
    decisions = decide([worker(0), worker(1)], [], units)
    moved = [one for one in decisions if isinstance(one, Evacuate)]
    assert [one.unit_id.job_id for one in moved] == ["long"]


@given(
    demands=st.lists(
        st.tuples(st.integers(0, 8), st.integers(1, 4), st.integers(0, 2)), max_size=30
    ),
    used=st.lists(st.integers(0, 8), min_size=1, max_size=5),
)
def test_no_pass_overfills_a_worker(demands, used):
    """Guard against two decisions of one pass that take the same room."""
    workers = [worker(number, used=taken) for number, taken in enumerate(used)]
    units = [
        waiting(f"u{n}", accelerators, size, priority=priority, guaranteed=not priority)
        for n, (accelerators, size, priority) in enumerate(demands)
    ]
    busy = [running(f"r{n}", n, taken) for n, taken in enumerate(used) if taken]
    taken = {f"w{number}": count for number, count in enumerate(used)}
    decisions = decide(workers, units, busy)
    by_id = {unit.unit_id: unit for unit in units}
    for one in decisions:
        if isinstance(one, Place):
            for chosen in one.placement:
                need = by_id[one.unit_id].demand.accelerators
                taken[chosen.worker_id] += need
    assert all(count <= CAPACITY.accelerators for count in taken.values())


def test_failing_worker_gets_no_second_run_of_a_unit():
    """Guard against a faulty worker that uses up all attempts of a unit.

    A worker that fails every run is soon free again. When it was the only free worker,
    three jobs failed twice there within 0.3 s each.
    """
    unit = waiting("j", failed_on=frozenset({"w1"}))
    (decision,) = decide([worker(1), worker(2, used=8)], [unit])
    assert isinstance(decision, Wait)
    assert placed(decide([worker(1), worker(2)], [unit]))["j"] == ["w2"]


def test_unit_that_failed_everywhere_is_still_tried():
    """Guard against a unit that waits forever because it failed on every worker."""
    unit = waiting("j", failed_on=frozenset({"w1", "w2"}))
    assert placed(decide([worker(1), worker(2)], [unit]))["j"]


def test_suspected_worker_gets_nothing_and_one_on_trial_one_unit():
    """Guard against a faulty worker that gets many units because it is always free."""
    full = [worker(number, used=8) for number in (2, 3)]
    units = [waiting(name, attempts_left=2) for name in ("i", "j")]
    suspected = worker(1, trust=Trust.NONE)
    assert placed(decide([suspected, *full], units)) == {}
    trial = worker(1, trust=Trust.TRIAL)
    assert len(placed(decide([trial, *full], units))) == 1


def test_last_attempt_is_not_made_on_trial():
    """Guard against a job that fails because its last attempt was on a suspect."""
    full = [worker(number, used=8) for number in (2, 3)]
    unit = waiting("j", attempts_left=1)
    assert placed(decide([worker(1, trust=Trust.TRIAL), *full], [unit])) == {}


def test_stalled_unit_moves_once_the_stall_exceeds_its_lost_work():
    """Guard against a unit that stays on a worker where runs make no progress.

    Tasks on one worker stalled for 6 s, and the worker got new tasks in this time. A
    unit moves only once it has stalled for as long as the work it would lose took.
    """
    young = running("young", 1, 1, lost_work=2 * demand(1).weight, stalled_for=2.0)
    old = running("old", 1, 1, lost_work=9 * demand(1).weight, stalled_for=2.0)
    workers = [worker(1, used=2, trust=Trust.NONE), worker(2)]
    decisions = decide(workers, [], [young, old])
    assert {one.unit_id.job_id for one in decisions if isinstance(one, Move)} == {
        "young"
    }


def test_nothing_moves_when_most_workers_are_suspected():
    """Guard against moving all units when the observer itself was paused."""
    workers = [worker(number, trust=Trust.NONE) for number in (1, 2)]
    stalled = running("j", 1, 1, lost_work=0.0, stalled_for=5.0)
    assert not [one for one in decide(workers, [], [stalled]) if isinstance(one, Move)]


def test_urgent_unit_with_tight_slack_may_stop_more():
    """Guard against an urgent unit that ends late while less urgent units run.

    An urgent job of two tasks waited 9.6 s for free workers and ended late, while less
    urgent tasks were running.
    """
    victim = running("bulk", 1, 8, lost_work=2.0 * demand(8).weight)
    full = [worker(1, used=8)]
    calm = waiting("calm", 8, priority=0, objective=9.0, remaining=4.0)
    pressing = waiting("pressing", 8, priority=0, objective=5.0, remaining=4.0)
    assert stopped(decide(full, [calm], [victim])) == set()
    assert stopped(decide(full, [pressing], [victim])) == {"bulk"}
    late = waiting("late", 8, priority=0, objective=1.0, remaining=4.0)
    assert stopped(decide(full, [late], [victim])) == set()


def test_suspected_workers_are_used_when_most_are_suspected():
    """Guard against an idle fleet when most workers are suspected wrongly."""
    workers = [worker(number, trust=Trust.NONE) for number in (1, 2)]
    assert placed(decide([*workers, worker(3, used=8)], [waiting("j")]))["j"]


def test_unit_with_checkpoints_stays_until_just_before_its_worker_leaves():
    """Guard against evacuating units seconds before their worker leaves.

    Workers that announced that they would leave in 2.4 to 4 s stayed for 5.2 s.
    """
    saved = running("saved", 0, 1, ends_in=9.0, leaves_in=4.0, checkpointing=True)
    last = running("last", 0, 1, ends_in=9.0, leaves_in=1.2, checkpointing=True)
    near = running("near", 0, 1, ends_in=5.0, leaves_in=4.0)
    decisions = decide([worker(0), worker(1)], [], [saved, last, near])
    moved = {one.unit_id.job_id for one in decisions if isinstance(one, Evacuate)}
    assert moved == {"last"}


def test_identical_units_search_a_full_fleet_once(monkeypatch):
    """Guard against a pass whose time grows with waiting units times workers.

    Without the cached result, a pass over 650 workers and 300 units took 1.7 s.
    """
    searches = {"placement": 0, "evictions": 0}

    def counting(name, function):
        def call(*arguments):
            searches[name] += 1
            return function(*arguments)

        return call

    for name, module, attribute in (
        ("placement", planning_pass, "choose_placement"),
        ("evictions", pass_eviction, "cheapest_eviction"),
    ):
        function = getattr(module, attribute)
        monkeypatch.setattr(module, attribute, counting(name, function))
    full = [worker(number, used=8) for number in range(4)]
    units = [waiting(f"j{number}", 8, priority=0) for number in range(20)]
    victims = [running(f"v{n}", n, 8, lost_work=1e6) for n in range(4)]
    assert stopped(decide(full, units, victims)) == set()
    assert searches == {"placement": 1, "evictions": 1}


def test_smaller_payload_is_still_placed_where_a_larger_one_was_not():
    """Guard against a unit that waits because a unit with a larger payload does."""
    crowded = worker(1, orders_bytes=ORDERS_LIMIT_BYTES - 100)
    large = waiting("large", payload_bytes=500, objective=1.0)
    small = waiting("small", payload_bytes=50, objective=9.0)
    assert placed(decide([crowded], [large, small])) == {"small": ["w1"]}


def test_gang_of_one_rack_waits_for_its_workers_after_a_takeover():
    """Guard against a gang over two racks because a new owner has few reports yet.

    A gang that was placed over two racks 0.2 s after a takeover ran for 19.6 s, three
    times as long as in one rack.
    """
    gang = waiting("j", 8, size=2, same_rack=True, waits_for_rack=True)
    known = [worker(1, rack=1), worker(2, rack=2)]
    back = worker(3, rack=1, ready=False, awaiting_report=True)
    assert placed(decide([*known, back], [gang])) == {}
    impatient = replace(gang, waits_for_rack=False)
    assert placed(decide([*known, back], [impatient])) == {"j": ["w1", "w2"]}
    assert placed(decide(known, [gang])) == {"j": ["w1", "w2"]}


def test_task_waits_for_the_rack_of_its_data_after_a_takeover():
    """Guard against a task outside its data's rack because a report is still missing.

    A new owner has no reports of some workers right after a takeover.
    """
    task = waiting("j", data_rack="r1-1", waits_for_rack=True)
    back = worker(3, rack=1, ready=False, awaiting_report=True)
    assert placed(decide([worker(2, rack=2), back], [task])) == {}
    assert placed(decide([worker(2, rack=2)], [task])) == {"j": ["w2"]}


def test_wait_of_an_urgent_unit_tells_what_making_room_would_cost():
    """Guard against a late urgent unit of which the logs don't tell what held it."""
    urgent = waiting("urgent", 8, priority=0)
    busy = running("bulk", 0, 8, lost_work=1000.0)
    found = decide([worker(0, used=8)], [urgent], [busy])
    assert isinstance(found[0], Wait)
    assert found[0].least_cost is not None
    assert 1000.0 <= found[0].least_cost < inf
    assert 0.0 < found[0].loss_limit < found[0].least_cost


def test_urgent_gang_stops_work_that_loses_nothing():
    """Guard against an urgent gang that waits while work with checkpoints runs."""
    workers = [worker(number, used=8) for number in range(12)]
    saved = [
        running(f"b{n}.{k}", n, 1, lost_work=0.0, checkpointing=True)
        for n in range(12)
        for k in range(8)
    ]
    urgent = waiting("urgent", 8, size=12, priority=0, objective=20.0, remaining=2.4)
    assert len(stopped(decide(workers, [urgent], saved))) == 96


def test_late_urgent_unit_stops_no_more_work_than_its_own():
    """Guard against an urgent unit that throws away more work than it does."""
    urgent = waiting("urgent", 8, priority=0, objective=2.5, remaining=2.0)
    cheaper = running("cheaper", 0, 8, lost_work=0.6 * urgent.work)
    dearer = running("dearer", 0, 8, lost_work=1.1 * urgent.work)
    assert stopped(decide([worker(0, used=8)], [urgent], [cheaper])) == {"cheaper"}
    assert not stopped(decide([worker(0, used=8)], [urgent], [dearer]))
