"""Track the workers of a data centre and the tasks that hold their accelerators.

This is the view of a shard's scheduler, which the agents' streams and the placed
jobs keep up to date.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..message import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """Describe one worker; the memory is in bytes."""

    worker_id: str
    region: str
    data_centre: str
    rack: str
    accelerators: int
    cores: int = 1
    memory: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerAttached(Message):
    """Report a worker whose agent opened a stream.

    clock is a reading of the agent's own clock, in seconds.
    """

    worker: Worker
    clock: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerDetached(Message):
    """Report that the stream to a worker's agent has closed."""

    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerLeaving(Message):
    """Report that a worker accepts no new tasks because its agent is leaving."""

    worker_id: str


@dataclass(slots=True)
class Fleet:
    """Track the known workers and the task that holds each accelerator.

    A task keeps its accelerators when the worker's stream closes, because it may
    still run. version changes with every change that placement depends on.
    """

    workers: dict[str, Worker] = field(default_factory=dict)
    available: set[str] = field(default_factory=set)
    quarantined: frozenset[str] = frozenset()
    holders: dict[str, dict[int, str]] = field(default_factory=dict)
    cpu_tasks: dict[str, set[str]] = field(default_factory=dict)
    version: int = 0

    def attach(self, worker: Worker) -> None:
        """Add a worker or replace its description."""
        self.version += 1
        self.workers[worker.worker_id] = worker
        self.available.add(worker.worker_id)

    def detach(self, worker_id: str) -> None:
        """Exclude a worker from placement; its tasks keep their accelerators."""
        self.version += 1
        self.available.discard(worker_id)

    @property
    def usable(self) -> frozenset[str]:
        """Return the workers that may get tasks."""
        return frozenset(self.available - self.quarantined)

    def free(self, worker_id: str) -> tuple[int, ...]:
        """Return the indices of a worker's free accelerators."""
        held = self.holders.get(worker_id, {})
        count = self.workers[worker_id].accelerators
        return tuple(index for index in range(count) if index not in held)

    def free_cores(self, worker_id: str) -> int:
        """Return how many tasks without accelerators the worker can still take."""
        used = len(self.cpu_tasks.get(worker_id, ()))
        return max(self.workers[worker_id].cores - used, 0)

    def hold(self, worker_id: str, accelerators: Iterable[int], task_id: str) -> None:
        """Record a task as the holder of accelerators.

        A task without accelerators holds one core.
        """
        self.version += 1
        indices = tuple(accelerators)
        if not indices:
            self.cpu_tasks.setdefault(worker_id, set()).add(task_id)
            return
        held = self.holders.setdefault(worker_id, {})
        for index in indices:
            held[index] = task_id

    def release(self, worker_id: str, task_id: str) -> None:
        """Release the accelerators or the core that the task holds on the worker."""
        task_ids = self.cpu_tasks.get(worker_id, set())
        held = self.holders.get(worker_id, {})
        indices = [index for index, holder in held.items() if holder == task_id]
        if not indices and task_id not in task_ids:
            return
        self.version += 1
        task_ids.discard(task_id)
        for index in indices:
            del held[index]

    def racks(self) -> dict[str, list[str]]:
        """Return the ids of the usable workers by rack."""
        racks: dict[str, list[str]] = {}
        for worker_id in sorted(self.usable):
            racks.setdefault(self.workers[worker_id].rack, []).append(worker_id)
        return racks
