"""Choose which running units stop so that a waiting one gets room.

Answers a guarantee that is called in while others use its accelerators: stops
as little work as possible, and spares units that were stopped before.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from copy import copy
from dataclasses import dataclass, field

from .plan import RunningUnit, WaitingUnit, WorkerRoom
from .seating import candidates, count_fitting, racks_for, take

RESTART_COST = 1.0
"""Seconds of a unit's room that a stop costs beside the lost work."""


@dataclass(slots=True, kw_only=True)
class Eviction:
    """Hold the units to stop, their cost in core-seconds, and the rooms taken."""

    victims: list[RunningUnit] = field(default_factory=list)
    cost: float = 0.0
    seats: list[str] = field(default_factory=list)


def copy_room(room: WorkerRoom) -> WorkerRoom:
    """Return a room that can be changed on its own."""
    twin = copy(room)
    twin.tasks_of_step = dict(room.tasks_of_step)
    return twin


def free_rooms(
    rooms: Iterable[WorkerRoom], freed: Iterable[RunningUnit]
) -> list[WorkerRoom]:
    """Return copies of the rooms after some running units have ended."""
    copies = {room.seat.worker_id: copy_room(room) for room in rooms}
    for unit in freed:
        _release(unit, copies)
    return list(copies.values())


def cheapest_eviction(
    unit: WaitingUnit, rooms: Sequence[WorkerRoom], victims: Sequence[RunningUnit]
) -> Eviction | None:
    """Return the eviction that costs least, or None if none makes room."""
    allowed = candidates(unit, rooms)
    groups = racks_for(unit, allowed)
    found = [_evict(unit, group, rooms, victims) for group in groups]
    possible = [eviction for eviction in found if eviction is not None]
    return min(possible, key=lambda eviction: eviction.cost, default=None)


def _evict(
    unit: WaitingUnit,
    group: Sequence[WorkerRoom],
    rooms: Sequence[WorkerRoom],
    victims: Sequence[RunningUnit],
) -> Eviction | None:
    """Seat the unit's tasks one by one, each where it costs least."""
    copies = {room.seat.worker_id: copy_room(room) for room in rooms}
    names = [room.seat.worker_id for room in group]
    left = list(victims)
    result = Eviction()
    for _ in range(unit.size):
        options = [
            option
            for name in names
            if (option := _option(unit, copies[name], left)) is not None
        ]
        if not options:
            return None
        cost, _, name, chosen = min(options, key=lambda option: option[:3])
        for victim in chosen:
            left.remove(victim)
            _release(victim, copies)
        take(unit, [copies[name]])
        result.victims += chosen
        result.cost += cost
        result.seats.append(name)
    return result


def _option(
    unit: WaitingUnit, room: WorkerRoom, victims: Sequence[RunningUnit]
) -> tuple[float, int, str, list[RunningUnit]] | None:
    """Return what it costs to seat one task on a worker: cost, room left, victims."""
    name = room.seat.worker_id
    trial = copy_room(room)
    here = [victim for victim in victims if _seats_on(victim, name)]
    here.sort(key=lambda victim: _cost(victim) / _freed_weight(victim, name))
    chosen: list[RunningUnit] = []
    while not count_fitting(unit, trial, trial.room):
        if not here:
            return None
        victim = here.pop(0)
        chosen.append(victim)
        _release(victim, {name: trial})
    for victim in sorted(chosen, key=_cost, reverse=True):
        # A victim that the later ones made needless goes on.
        _hold(victim, name, trial)
        if count_fitting(unit, trial, trial.room):
            chosen.remove(victim)
        else:
            _release(victim, {name: trial})
    cost = sum(_cost(victim) for victim in chosen)
    return cost, trial.room.accelerators, name, chosen


def _cost(victim: RunningUnit) -> float:
    """Return the core-seconds that stopping a unit costs."""
    room = len(victim.seats) * victim.demand.weight
    return (victim.lost_work + RESTART_COST * room) * (1 + victim.preemptions)


def _freed_weight(victim: RunningUnit, worker_id: str) -> float:
    return max(_seats_on(victim, worker_id) * victim.demand.weight, 1e-3)


def _seats_on(victim: RunningUnit, worker_id: str) -> int:
    return sum(seat.worker_id == worker_id for seat in victim.seats)


def _release(unit: RunningUnit, rooms: dict[str, WorkerRoom]) -> None:
    for seat in unit.seats:
        if seat.worker_id in rooms:
            rooms[seat.worker_id].room += unit.demand


def _hold(unit: RunningUnit, worker_id: str, room: WorkerRoom) -> None:
    for _ in range(_seats_on(unit, worker_id)):
        room.room -= unit.demand
