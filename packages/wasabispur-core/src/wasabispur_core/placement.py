"""Choose the workers of a whole gang, or none."""

from __future__ import annotations

from dataclasses import dataclass

from .fleet import Fleet


@dataclass(frozen=True, slots=True, kw_only=True)
class Seat:
    """Name the accelerators of one worker that one task of a gang gets."""

    worker_id: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class GangSize:
    """Give the number of tasks in a gang and the accelerators of each."""

    tasks: int
    accelerators: int


def place_gang(fleet: Fleet, size: GangSize) -> tuple[Seat, ...] | None:
    """Return seats for every task on the fewest racks, or None if some don't fit."""
    seats: list[Seat] = []
    for rack in choose_racks(fleet, size):
        seats += fill_rack(fleet, rack, size.accelerators, size.tasks - len(seats))
    return tuple(seats) if len(seats) == size.tasks else None


def choose_racks(fleet: Fleet, size: GangSize) -> list[list[str]]:
    """Return the workers of the fewest racks that seat the gang together.

    The last rack is the one with the least room that still suffices, so that
    larger racks stay whole for later gangs.
    """
    rooms = [
        (sum(room_of(fleet, worker, size.accelerators) for worker in rack), rack)
        for rack in fleet.racks().values()
    ]
    rooms.sort(key=lambda pair: (-pair[0], pair[1]))
    chosen: list[list[str]] = []
    missing = size.tasks
    while rooms and missing > 0:
        sufficient = [pair for pair in rooms if pair[0] >= missing]
        pair = sufficient[-1] if sufficient else rooms[0]
        rooms.remove(pair)
        missing -= pair[0]
        chosen.append(pair[1])
    return chosen if missing <= 0 else []


def room_of(fleet: Fleet, worker_id: str, accelerators: int) -> int:
    """Return how many tasks of the given size the worker can take now."""
    if accelerators == 0:
        return fleet.free_cores(worker_id)
    return len(fleet.free(worker_id)) // accelerators


def fill_rack(
    fleet: Fleet, rack: list[str], accelerators: int, tasks: int
) -> list[Seat]:
    """Return up to tasks seats in one rack, fullest workers first."""
    order = sorted(rack, key=lambda worker: room_of(fleet, worker, accelerators))
    whole = [w for w in order if room_of(fleet, w, accelerators) >= tasks]
    # One worker that seats all the tasks beats several.
    order = whole[:1] or order[::-1]
    seats: list[Seat] = []
    for worker_id in order:
        free = fleet.free(worker_id)
        for number in range(room_of(fleet, worker_id, accelerators)):
            if len(seats) == tasks:
                return seats
            start = number * accelerators
            block = free[start : start + accelerators]
            seats.append(Seat(worker_id=worker_id, accelerators=block))
    return seats


def impossible_reason(fleet: Fleet, size: GangSize) -> str:
    """Return why the known workers can never run the gang, or an empty text."""
    if size.accelerators == 0:
        room = sum(max(worker.cores, 0) for worker in fleet.workers.values())
        unit = "cores"
    else:
        room = sum(w.accelerators // size.accelerators for w in fleet.workers.values())
        unit = f"places for tasks of {size.accelerators} accelerators"
    if room >= size.tasks:
        return ""
    return f"the data centre has {room} {unit} and the job needs {size.tasks}"
