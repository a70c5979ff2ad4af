"""Choose workers for all tasks of a gang, or for none of them.

The scheduler of the shard's owner uses this to place jobs, and to allocate
accelerators to the guarantees of organisations.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .buddy import find_blocks
from .fleet import Fleet

AcceleratorFilter = Callable[[str, int], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Assign accelerators of one worker to one task of a gang."""

    worker_id: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class GangSize:
    """Describe the number of tasks in a gang and the accelerators of each task."""

    tasks: int
    accelerators: int


@dataclass(slots=True)
class FreeCapacity:
    """Represent the accelerators and cores that a placement may use.

    free has the indices of accelerators and cores the number of cores, by worker id.
    """

    racks: dict[str, list[str]] = field(default_factory=dict)
    free: dict[str, tuple[int, ...]] = field(default_factory=dict)
    cores: dict[str, int] = field(default_factory=dict)

    def assignments(
        self, worker_id: str, accelerators: int, limit: int
    ) -> list[Assignment]:
        """Return up to limit assignments on one worker."""
        if accelerators == 0:
            count = min(self.cores.get(worker_id, 0), limit)
            return [Assignment(worker_id=worker_id, accelerators=())] * count
        blocks = find_blocks(self.free.get(worker_id, ()), accelerators, limit)
        return [Assignment(worker_id=worker_id, accelerators=block) for block in blocks]

    def allocate(self, assignments: Iterable[Assignment]) -> None:
        """Remove the accelerators and cores that the assignments use."""
        for assignment in assignments:
            if not assignment.accelerators:
                self.cores[assignment.worker_id] -= 1
                continue
            free = self.free[assignment.worker_id]
            left = tuple(
                index for index in free if index not in assignment.accelerators
            )
            self.free[assignment.worker_id] = left


def free_capacity(
    fleet: Fleet,
    allowed: AcceleratorFilter | None = None,
    avoided: frozenset[str] = frozenset(),
) -> FreeCapacity:
    """Return the free capacity of usable workers that are not avoided.

    allowed selects accelerators by worker id and index; None selects all of them.
    """
    capacity = FreeCapacity(racks=fleet.racks())
    for worker_id in fleet.usable - avoided:
        free = fleet.free(worker_id)
        if allowed is not None:
            free = tuple(index for index in free if allowed(worker_id, index))
        capacity.free[worker_id] = free
        capacity.cores[worker_id] = fleet.free_cores(worker_id)
    return capacity


def place_gang(capacity: FreeCapacity, size: GangSize) -> tuple[Assignment, ...] | None:
    """Return assignments for the whole gang on the fewest racks, or None."""
    assignments = assignments_on_one_worker(capacity, size)
    if assignments:
        return tuple(assignments)
    for rack in choose_racks(capacity, size):
        assignments += fill_rack(
            capacity, rack, size.accelerators, size.tasks - len(assignments)
        )
    return tuple(assignments) if len(assignments) == size.tasks else None


def assignments_on_one_worker(
    capacity: FreeCapacity, size: GangSize
) -> list[Assignment]:
    """Return assignments for the whole gang on the fullest worker that fits it.

    Small jobs are packed on few workers in any rack, so that whole workers stay free
    for gangs.
    """
    order = sorted(
        capacity.free, key=lambda worker: (len(capacity.free[worker]), worker)
    )
    for worker_id in order:
        assignments = capacity.assignments(worker_id, size.accelerators, size.tasks)
        if len(assignments) == size.tasks:
            return assignments
    return []


def choose_racks(capacity: FreeCapacity, size: GangSize) -> list[list[str]]:
    """Return the workers of the fewest racks that fit the gang, rack by rack.

    The last rack is the one with the least capacity that still suffices, so that
    larger racks stay free for later gangs.
    """
    rack_capacities = [
        (
            sum(
                len(capacity.assignments(w, size.accelerators, size.tasks))
                for w in rack
            ),
            rack,
        )
        for rack in capacity.racks.values()
    ]
    rack_capacities = [pair for pair in rack_capacities if pair[0]]
    rack_capacities.sort(key=lambda pair: (-pair[0], pair[1]))
    chosen: list[list[str]] = []
    missing = size.tasks
    while rack_capacities and missing > 0:
        sufficient = [pair for pair in rack_capacities if pair[0] >= missing]
        pair = sufficient[-1] if sufficient else rack_capacities[0]
        rack_capacities.remove(pair)
        missing -= pair[0]
        chosen.append(pair[1])
    return chosen if missing <= 0 else []


def fill_rack(
    capacity: FreeCapacity, rack: list[str], accelerators: int, tasks: int
) -> list[Assignment]:
    """Return up to tasks assignments in one rack, on as few workers as possible.

    Of the workers that fit all the tasks, the one with the fewest free accelerators
    is chosen, so that whole workers stay free.
    """
    candidates = [capacity.assignments(worker, accelerators, tasks) for worker in rack]
    candidates = [candidate for candidate in candidates if candidate]
    candidates.sort(
        key=lambda candidate: len(capacity.free.get(candidate[0].worker_id, ()))
    )
    whole = [candidate for candidate in candidates if len(candidate) >= tasks]
    if whole:
        return whole[0][:tasks]
    candidates.sort(key=len, reverse=True)
    return [assignment for candidate in candidates for assignment in candidate][:tasks]


def impossible_reason(fleet: Fleet, size: GangSize) -> str:
    """Return why the known workers can never run the gang, or an empty string."""
    capacity = FreeCapacity()
    for worker_id, worker in fleet.workers.items():
        capacity.free[worker_id] = tuple(range(worker.accelerators))
        capacity.cores[worker_id] = worker.cores
    assignments = sum(
        len(capacity.assignments(worker_id, size.accelerators, size.tasks))
        for worker_id in fleet.workers
    )
    if assignments >= size.tasks:
        return ""
    unit = "cores"
    if size.accelerators:
        unit = f"places for tasks of {size.accelerators} accelerators"
    return f"the data centre has {assignments} {unit} and the job needs {size.tasks}"
