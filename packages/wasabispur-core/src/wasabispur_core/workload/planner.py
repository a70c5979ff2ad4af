"""Decide which waiting units run where, and what stops for them.

Answers overload by several kinds of jobs at once: urgent work goes first, what
can still meet its objective goes before what can't, and running work is stopped
only for a guarantee or where little of it is lost.
"""

from __future__ import annotations

from .eviction import cheapest_eviction, copy_room, Eviction, free_rooms
from .plan import (
    Decision,
    Evacuate,
    Place,
    Preempt,
    RunningUnit,
    Snapshot,
    Wait,
    WaitingUnit,
    WaitReason,
    WorkerRoom,
)
from .seating import candidates, choose_seats, take

LATE_FACTOR = 3.0
"""A job that ends after this multiple of its objective earns nothing."""

CHEAP_LOSS = 0.15
"""Share of the waiting unit's own work that may be lost by stopping others."""


def plan(snapshot: Snapshot) -> list[Decision]:
    """Return a decision for each waiting unit, the preemptions and evacuations."""
    rooms = [copy_room(room) for room in snapshot.rooms]
    victims = [unit for unit in snapshot.running if not unit.stopping]
    stopping = [unit for unit in snapshot.running if unit.stopping]
    decisions: list[Decision] = [
        Evacuate(unit_id=unit.unit_id, leaves_in=unit.leaves_in)
        for unit in victims
        if unit.ends_in > unit.leaves_in
    ]
    for unit in sorted(snapshot.waiting, key=lambda u: _rank(u, snapshot.now)):
        decisions += _decide(unit, rooms, victims, stopping)
    return decisions


def _decide(
    unit: WaitingUnit,
    rooms: list[WorkerRoom],
    victims: list[RunningUnit],
    stopping: list[RunningUnit],
) -> list[Decision]:
    seats = choose_seats(unit, rooms)
    if seats is not None:
        take(unit, seats)
        return [Place(unit_id=unit.unit_id, seats=tuple(room.seat for room in seats))]
    if not candidates(unit, rooms):
        return [Wait(unit_id=unit.unit_id, reason=WaitReason.NO_WORKER)]
    if unit.priority > 0 and not unit.guaranteed:
        return [Wait(unit_id=unit.unit_id, reason=WaitReason.NO_ROOM)]
    # Room that is being freed already may do; it is held for this unit.
    future = free_rooms(rooms, stopping)
    pool = [
        victim
        for victim in victims
        if victim.priority > unit.priority and not victim.guaranteed
    ]
    eviction = cheapest_eviction(unit, future, pool)
    if eviction is None or not _worth_it(unit, eviction):
        return [Wait(unit_id=unit.unit_id, reason=WaitReason.NO_ROOM)]
    _hold(unit, eviction, rooms)
    for victim in eviction.victims:
        victims.remove(victim)
        stopping.append(victim)
    preemptions: list[Decision] = [
        Preempt(
            unit_id=victim.unit_id,
            beneficiary=unit.unit_id,
            lost_work=victim.lost_work,
        )
        for victim in eviction.victims
    ]
    return [*preemptions, Wait(unit_id=unit.unit_id, reason=WaitReason.STOPPING)]


def _rank(unit: WaitingUnit, now: float) -> tuple[bool, int, int, float]:
    """Order units: guarantees, priority, chance of success, then objective."""
    return (
        not unit.guaranteed,
        unit.priority,
        _lateness(unit, now),
        unit.objective - unit.remaining,
    )


def _lateness(unit: WaitingUnit, now: float) -> int:
    """Return 0 for a unit that can be in time, 1 if late, and 2 if hopeless."""
    end = now + unit.remaining
    if end <= unit.objective:
        return 0
    start = unit.objective - unit.target_span
    return 1 if end <= start + LATE_FACTOR * unit.target_span else 2


def _worth_it(unit: WaitingUnit, eviction: Eviction) -> bool:
    return unit.guaranteed or eviction.cost <= CHEAP_LOSS * unit.work


def _hold(unit: WaitingUnit, eviction: Eviction, rooms: list[WorkerRoom]) -> None:
    """Take the room that the unit will get once others have stopped."""
    by_id = {room.seat.worker_id: room for room in rooms}
    take(unit, [by_id[name] for name in eviction.seats])
