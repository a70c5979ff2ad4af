"""Decide which waiting units run where, and what stops for them.

Answers overload by several kinds of jobs at once: urgent work goes first, what
can still meet its objective goes before what can't, and running work is stopped
only for a guarantee or where little of it is lost.
"""

from __future__ import annotations

from copy import copy

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
    rooms = [_copy(room) for room in snapshot.rooms]
    victims = [unit for unit in snapshot.running if not unit.stopping]
    decisions: list[Decision] = [
        Evacuate(unit_id=unit.unit_id, leaves_in=unit.leaves_in)
        for unit in victims
        if unit.ends_in > unit.leaves_in
    ]
    for unit in sorted(snapshot.waiting, key=lambda u: _rank(u, snapshot.now)):
        decisions += _decide(unit, rooms, victims, snapshot)
    return decisions


def _decide(
    unit: WaitingUnit,
    rooms: list[WorkerRoom],
    victims: list[RunningUnit],
    snapshot: Snapshot,
) -> list[Decision]:
    seats = choose_seats(unit, rooms)
    if seats is not None:
        take(unit, seats)
        return [Place(unit_id=unit.unit_id, seats=tuple(room.seat for room in seats))]
    if not candidates(unit, rooms):
        return [Wait(unit_id=unit.unit_id, reason=WaitReason.NO_WORKER)]
    # Room that is being freed already may do; it is held for this unit.
    stopping = [one for one in snapshot.running if one.stopping]
    if unit.priority == 0 and _hold(unit, rooms, stopping):
        return [Wait(unit_id=unit.unit_id, reason=WaitReason.STOPPING)]
    chosen = _choose_victims(unit, rooms, stopping, victims)
    if not chosen:
        return [Wait(unit_id=unit.unit_id, reason=WaitReason.NO_ROOM)]
    for victim in chosen:
        victims.remove(victim)
    _hold(unit, rooms, [*stopping, *chosen])
    preemptions: list[Decision] = [
        Preempt(
            unit_id=victim.unit_id,
            beneficiary=unit.unit_id,
            lost_work=victim.lost_work,
        )
        for victim in chosen
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
    """Return 0 for a unit that can be in time, 1 for a late one, 2 for a hopeless one."""
    end = now + unit.remaining
    if end <= unit.objective:
        return 0
    start = unit.objective - unit.target_span
    return 1 if end <= start + LATE_FACTOR * unit.target_span else 2


def _choose_victims(
    unit: WaitingUnit,
    rooms: list[WorkerRoom],
    stopping: list[RunningUnit],
    victims: list[RunningUnit],
) -> list[RunningUnit]:
    """Return the units to stop, cheapest first, without those that don't help."""
    if unit.priority > 0 and not unit.guaranteed:
        return []
    names = {room.seat.worker_id for room in candidates(unit, rooms)}
    pool = [
        victim
        for victim in victims
        if victim.priority > unit.priority
        and not victim.guaranteed
        and any(seat.worker_id in names for seat in victim.seats)
    ]
    pool.sort(key=lambda victim: (victim.preemptions, -victim.priority, _cost(victim)))
    chosen: list[RunningUnit] = []
    for victim in pool:
        chosen.append(victim)
        if _fits_after(unit, rooms, [*stopping, *chosen]):
            break
    else:
        return []
    chosen = _prune(unit, rooms, stopping, chosen)
    lost = sum(victim.lost_work for victim in chosen)
    if unit.guaranteed or lost <= CHEAP_LOSS * unit.work:
        return chosen
    return []


def _cost(victim: RunningUnit) -> float:
    """Return the work lost for each unit of room that stopping frees."""
    freed = len(victim.seats) * victim.demand.weight
    return victim.lost_work / max(freed, 1e-3)


def _prune(
    unit: WaitingUnit,
    rooms: list[WorkerRoom],
    stopping: list[RunningUnit],
    chosen: list[RunningUnit],
) -> list[RunningUnit]:
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda one: -one.lost_work):
        rest = [one for one in kept if one is not victim]
        if _fits_after(unit, rooms, [*stopping, *rest]):
            kept = rest
    return kept


def _fits_after(
    unit: WaitingUnit, rooms: list[WorkerRoom], freed: list[RunningUnit]
) -> bool:
    return choose_seats(unit, _freed(rooms, freed)) is not None


def _hold(unit: WaitingUnit, rooms: list[WorkerRoom], freed: list[RunningUnit]) -> bool:
    """Take the room that the unit will get once others have stopped."""
    seats = choose_seats(unit, _freed(rooms, freed))
    if seats is None:
        return False
    names = [room.seat.worker_id for room in seats]
    by_id = {room.seat.worker_id: room for room in rooms}
    take(unit, [by_id[name] for name in names])
    return True


def _freed(rooms: list[WorkerRoom], freed: list[RunningUnit]) -> list[WorkerRoom]:
    copies = {room.seat.worker_id: _copy(room) for room in rooms}
    for victim in freed:
        for seat in victim.seats:
            if seat.worker_id in copies:
                copies[seat.worker_id].room += victim.demand
    return list(copies.values())


def _copy(room: WorkerRoom) -> WorkerRoom:
    twin = copy(room)
    twin.tasks_of_step = dict(room.tasks_of_step)
    return twin
