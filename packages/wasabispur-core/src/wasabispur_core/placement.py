"""Choose the workers of a whole gang, or none."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .buddy import split_blocks
from .fleet import Fleet

Allowed = Callable[[str, int], bool]


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


@dataclass(slots=True)
class Room:
    """Hold the accelerators and cores that a placement may use."""

    racks: dict[str, list[str]] = field(default_factory=dict)
    free: dict[str, tuple[int, ...]] = field(default_factory=dict)
    cores: dict[str, int] = field(default_factory=dict)

    def seats(self, worker_id: str, accelerators: int, limit: int) -> list[Seat]:
        """Return up to limit seats on one worker."""
        if accelerators == 0:
            count = min(self.cores.get(worker_id, 0), limit)
            return [Seat(worker_id=worker_id, accelerators=())] * count
        blocks = split_blocks(self.free.get(worker_id, ()), accelerators, limit)
        return [Seat(worker_id=worker_id, accelerators=block) for block in blocks]

    def take(self, seats: Iterable[Seat]) -> None:
        """Remove what the seats use."""
        for seat in seats:
            if not seat.accelerators:
                self.cores[seat.worker_id] -= 1
                continue
            free = self.free[seat.worker_id]
            left = tuple(index for index in free if index not in seat.accelerators)
            self.free[seat.worker_id] = left


def free_room(
    fleet: Fleet,
    allowed: Allowed | None = None,
    avoided: frozenset[str] = frozenset(),
) -> Room:
    """Return what is free on the usable workers, as far as it is allowed."""
    room = Room(racks=fleet.racks())
    for worker_id in fleet.usable - avoided:
        free = fleet.free(worker_id)
        if allowed is not None:
            free = tuple(index for index in free if allowed(worker_id, index))
        room.free[worker_id] = free
        room.cores[worker_id] = fleet.free_cores(worker_id)
    return room


def place_gang(room: Room, size: GangSize) -> tuple[Seat, ...] | None:
    """Return seats for every task on the fewest racks, or None if some don't fit."""
    seats: list[Seat] = []
    for rack in choose_racks(room, size):
        seats += fill_rack(room, rack, size.accelerators, size.tasks - len(seats))
    return tuple(seats) if len(seats) == size.tasks else None


def choose_racks(room: Room, size: GangSize) -> list[list[str]]:
    """Return the workers of the fewest racks that seat the gang together.

    The last rack is the one with the least room that still suffices, so that
    larger racks stay whole for later gangs.
    """
    rooms = [
        (sum(len(room.seats(w, size.accelerators, size.tasks)) for w in rack), rack)
        for rack in room.racks.values()
    ]
    rooms = [pair for pair in rooms if pair[0]]
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


def fill_rack(room: Room, rack: list[str], accelerators: int, tasks: int) -> list[Seat]:
    """Return up to tasks seats in one rack, on as few workers as possible.

    Of the workers that seat all the tasks, the one with the least free room is
    taken, so that whole workers stay free.
    """
    offers = [room.seats(worker, accelerators, tasks) for worker in rack]
    offers = [offer for offer in offers if offer]
    offers.sort(key=lambda offer: len(room.free.get(offer[0].worker_id, ())))
    whole = [offer for offer in offers if len(offer) >= tasks]
    if whole:
        return whole[0][:tasks]
    offers.sort(key=len, reverse=True)
    return [seat for offer in offers for seat in offer][:tasks]


def impossible_reason(fleet: Fleet, size: GangSize) -> str:
    """Return why the known workers can never run the gang, or an empty text."""
    room = Room()
    for worker_id, worker in fleet.workers.items():
        room.free[worker_id] = tuple(range(worker.accelerators))
        room.cores[worker_id] = worker.cores
    seats = sum(
        len(room.seats(worker_id, size.accelerators, size.tasks))
        for worker_id in fleet.workers
    )
    if seats >= size.tasks:
        return ""
    unit = "cores"
    if size.accelerators:
        unit = f"places for tasks of {size.accelerators} accelerators"
    return f"the data centre has {seats} {unit} and the job needs {size.tasks}"
