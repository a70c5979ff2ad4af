"""Choose workers for the tasks of one unit."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .plan import Trust, WaitingUnit, WorkerRoom
from .spec import Resources

PAYLOAD_LIMIT = 40_000
"""Bytes of payloads in one orders row, which the store bounds at 64 KiB."""


def candidates(unit: WaitingUnit, rooms: Iterable[WorkerRoom]) -> list[WorkerRoom]:
    """Return the workers that the unit's constraints allow, whatever their room.

    Data counts as a constraint while a worker of its rack could hold the task,
    since a task elsewhere takes several times as long.
    """
    able = [room for room in rooms if _able(unit, room)]
    possible = [room for room in able if room.ready]
    allowed = _without_suspects(unit, possible)
    near = [room for room in allowed if room.rack == unit.data_rack]
    if not unit.data_rack:
        return allowed
    if (
        not near
        and unit.patient
        and any(room.returning and room.rack == unit.data_rack for room in able)
    ):
        return []
    return near or allowed


def _able(unit: WaitingUnit, room: WorkerRoom) -> bool:
    """Return whether a worker could hold a task of the unit when it is empty."""
    return (
        room.service == unit.service
        and (not unit.label or unit.label in room.labels)
        and unit.demand.fits(room.capacity)
    )


def _without_suspects(
    unit: WaitingUnit, possible: list[WorkerRoom]
) -> list[WorkerRoom]:
    """Return the workers that won't just use up one of the unit's attempts.

    If most workers look bad, something else is the cause, and all are used.
    """
    trusted = [room for room in possible if _trusted(unit, room)]
    if 2 * len(trusted) < len(possible):
        trusted = possible
    elsewhere = [room for room in trusted if room.seat.worker_id not in unit.failed_on]
    return elsewhere or trusted


def _trusted(unit: WaitingUnit, room: WorkerRoom) -> bool:
    if room.trust is Trust.TRIAL:
        return unit.attempts_left > 1 and not room.tasks_of_step
    return room.trust is Trust.FULL


def choose_seats(
    unit: WaitingUnit, rooms: Sequence[WorkerRoom]
) -> list[WorkerRoom] | None:
    """Return a worker for each task of the unit, or None if there is no room.

    Takes the fullest workers that still fit, so that large blocks stay free for
    wide tasks, and a single rack where the unit asks for one and a rack could
    hold it.
    """
    allowed = candidates(unit, rooms)
    if not unit.same_rack or unit.size == 1:
        return _fill(unit, allowed)
    found = [
        seats
        for members in racks_for(unit, allowed, rooms)
        if (seats := _fill(unit, members)) is not None
    ]
    return min(found, key=_leftover, default=None)


def racks_for(
    unit: WaitingUnit, allowed: list[WorkerRoom], rooms: Iterable[WorkerRoom]
) -> list[list[WorkerRoom]]:
    """Return the groups of workers of which one has to take the whole unit.

    These are the racks that could hold it when empty, if it asks for a single one.
    A patient unit has none while only workers that return could complete a rack.
    """
    if not unit.same_rack or unit.size == 1:
        return [allowed]
    possible = _racks_holding(unit, allowed)
    if not possible and unit.patient:
        returning = [room for room in rooms if room.returning and _able(unit, room)]
        if _racks_holding(unit, [*allowed, *returning]):
            return []
    return possible or [allowed]


def _racks_holding(
    unit: WaitingUnit, allowed: Iterable[WorkerRoom]
) -> list[list[WorkerRoom]]:
    racks: dict[str, list[WorkerRoom]] = {}
    for room in allowed:
        racks.setdefault(room.rack, []).append(room)
    return [
        members
        for members in racks.values()
        if sum(count_fitting(unit, room, room.capacity) for room in members)
        >= unit.size
    ]


def take(unit: WaitingUnit, seats: Iterable[WorkerRoom]) -> None:
    """Take the unit's demand from the rooms of its workers."""
    for room in seats:
        room.room -= unit.demand
        room.payload_bytes += unit.payload_bytes
        step = step_key(unit)
        room.tasks_of_step[step] = room.tasks_of_step.get(step, 0) + 1


def step_key(unit: WaitingUnit) -> tuple[str, int, int]:
    """Return the key under which tasks of the unit's step are counted."""
    return unit.unit_id[:3]


def _fill(unit: WaitingUnit, rooms: Iterable[WorkerRoom]) -> list[WorkerRoom] | None:
    counts = [(count_fitting(unit, room, room.room), room) for room in rooms]
    usable = [(count, room) for count, room in counts if count]
    if sum(count for count, _ in usable) < unit.size:
        return None
    usable.sort(key=lambda item: _preference(unit, item[1]))
    seats: list[WorkerRoom] = []
    for count, room in usable:
        if len(seats) == unit.size:
            break
        seats += [room] * min(count, unit.size - len(seats))
    return seats if len(seats) == unit.size else None


def _preference(
    unit: WaitingUnit, room: WorkerRoom
) -> tuple[bool, bool, float, float, str]:
    left = room.room - unit.demand
    return (
        room.seat.worker_id in unit.avoided,
        room.trust is not Trust.FULL,
        left.accelerators,
        left.cpu,
        room.seat.worker_id,
    )


def count_fitting(
    unit: WaitingUnit, room: WorkerRoom, free: Resources, taken: int = 0
) -> int:
    """Return how many more of the unit's tasks fit into the free part of a worker.

    taken counts the tasks of the unit that are seated there already.
    """
    demand = unit.demand
    if not demand.fits(free):
        return 0
    payloads = room.payload_bytes + taken * unit.payload_bytes
    bounds = [unit.size, (PAYLOAD_LIMIT - payloads) // max(unit.payload_bytes, 1)]
    if demand.cpu:
        bounds.append(free.cpu // demand.cpu)
    if demand.memory:
        bounds.append(free.memory // demand.memory)
    if demand.accelerators:
        bounds.append(free.accelerators // demand.accelerators)
    if unit.tasks_per_worker:
        present = room.tasks_of_step.get(step_key(unit), 0) + taken
        bounds.append(unit.tasks_per_worker - present)
    return max(min(bounds), 0)


def _leftover(seats: list[WorkerRoom]) -> int:
    distinct = {room.seat.worker_id: room for room in seats}
    return sum(room.room.accelerators for room in distinct.values())
