"""Test that a unit keeps the room for which others were stopped."""

from __future__ import annotations

from dataclasses import replace

from wasabispur_core.workload.planning.plan import Snapshot
from wasabispur_core.workload.planning.planner import Planner

from .test_planner import demand, placed, running, stopped, waiting, worker


def snapshot(workers, waiting_units, running_units=()) -> Snapshot:
    return Snapshot(
        now=0.0,
        workers=tuple(workers),
        waiting=tuple(waiting_units),
        running=tuple(running_units),
        changed=frozenset(one.worker_ref.worker_id for one in workers),
    )


def test_freed_room_goes_to_the_unit_that_others_were_stopped_for():
    """Guard against work that is stopped twice for one start.

    An earlier unit took the room, and more work was stopped for the first one.
    """
    planner = Planner()
    workers = [worker(0, used=8), worker(1, used=8)]
    victims = [running("v0", 0, 8, lost_work=1.0), running("v1", 1, 8, lost_work=99.0)]
    first = waiting("first", 8, priority=0, objective=20.0, remaining=9.0)
    decisions = planner.decide(snapshot(workers, [first], victims))
    assert stopped(decisions) == {"v0"}

    earlier = waiting("earlier", 8, priority=0, objective=8.0)
    stopping = [replace(victims[0], stopping=True)]
    decisions = planner.decide(snapshot(workers, [earlier, first], stopping))
    assert stopped(decisions) == set()
    assert placed(decisions) == {}

    freed = [worker(0), workers[1]]
    decisions = planner.decide(snapshot(freed, [earlier, first]))
    assert placed(decisions) == {"first": ["w0"]}


def two_full_workers():
    """Return two full workers, and the units on them, the first of which costs less."""
    workers = [worker(0, used=8), worker(1, used=8)]
    victims = [running("v0", 0, 8, lost_work=1.0), running("v1", 1, 8, lost_work=2.0)]
    return workers, victims


def test_unit_is_placed_elsewhere_if_room_is_free_sooner():
    """Guard against a unit that waits for a stop while another worker is idle."""
    planner = Planner()
    workers, victims = two_full_workers()
    first = waiting("first", 8, priority=0, guaranteed=True)
    assert stopped(planner.decide(snapshot(workers, [first], victims))) == {"v0"}
    stopping = [replace(victims[0], stopping=True)]
    idle = [workers[0], worker(1)]
    decisions = planner.decide(snapshot(idle, [first], stopping))
    assert placed(decisions) == {"first": ["w1"]}


def test_lost_reservation_is_replaced():
    """Guard against a unit that waits for a worker that is gone."""
    planner = Planner()
    workers, victims = two_full_workers()
    first = waiting("first", 8, priority=0, guaranteed=True)
    planner.decide(snapshot(workers, [first], victims))
    gone = replace(workers[0], ready=False, free=demand(0))
    remaining = replace(snapshot([gone, workers[1]], [first], victims), changed=None)
    assert stopped(planner.decide(remaining)) == {"v1"}


def test_nothing_is_stopped_while_workers_have_yet_to_report():
    """Guard against work that a new owner stops although another worker has room.

    It knew the reports of few workers, and stopped a run that was nearly done.
    """
    workers = [worker(0, used=8), worker(1, ready=False, awaiting_report=True)]
    victims = [running("v0", 0, 8, lost_work=1.0)]
    urgent = waiting("urgent", 8, priority=0, guaranteed=True)
    taken_over = replace(snapshot(workers, [urgent], victims), settling=True)
    planner = Planner()
    assert stopped(planner.decide(taken_over)) == set()
    assert stopped(planner.decide(snapshot(workers, [urgent], victims))) == {"v0"}


def test_guaranteed_unit_takes_room_kept_for_another():
    """Guard against a guarantee that waits for a unit without one."""
    planner = Planner()
    workers = [worker(0, used=8)]
    victims = [running("v0", 0, 8, lost_work=1.0)]
    urgent = waiting("urgent", 8, priority=0, objective=20.0, remaining=9.0)
    assert stopped(planner.decide(snapshot(workers, [urgent], victims))) == {"v0"}
    guaranteed = waiting("guaranteed", 8, priority=0, guaranteed=True)
    decisions = planner.decide(snapshot([worker(0)], [urgent, guaranteed]))
    assert placed(decisions) == {"guaranteed": ["w0"]}
