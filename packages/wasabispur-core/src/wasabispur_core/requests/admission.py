"""Queue requests at an entry instance by class and caller.

Classes share the slots of a service by weight and guaranteed floor, callers of a
class by round robin. The number of waiting requests is limited.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ..protocol import Reason
from ..work_class import WorkClass

INTERVAL_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the time between two starts."""


@dataclass(frozen=True, slots=True)
class QueueKey:
    """Identify the queue of a request, whether it waits or runs."""

    service: str
    work_class: str
    caller: str


@dataclass(frozen=True, slots=True)
class Rejection:
    """Describe why a request is not admitted; retry_after is in seconds."""

    reason: Reason
    retry_after: float


@dataclass(slots=True)
class ClassQueue:
    """Queue the requests of one class of one service, by caller.

    The start tag is the virtual time at which the class is served next. The mean
    start interval is in seconds and is sampled only while requests wait.
    """

    work_class: WorkClass
    callers: OrderedDict[str, OrderedDict[str, None]] = field(
        default_factory=OrderedDict
    )
    length: int = 0
    running: int = 0
    start_tag: float = 0.0
    mean_start_interval: float = 0.0
    last_start: float | None = None

    def add(self, caller: str, request_id: str, first: bool) -> None:
        """Append a request to its caller's queue, or put it before all requests."""
        queue = self.callers.setdefault(caller, OrderedDict())
        queue[request_id] = None
        self.length += 1
        if first:
            queue.move_to_end(request_id, last=False)
            self.callers.move_to_end(caller, last=False)

    def remove(self, caller: str, request_id: str) -> None:
        """Remove a waiting request in constant time."""
        queue = self.callers[caller]
        del queue[request_id]
        self.length -= 1
        if not queue:
            del self.callers[caller]

    def take(self, now: float) -> str:
        """Remove and return the next request, in round-robin order of the callers."""
        caller, queue = next(iter(self.callers.items()))
        request_id = next(iter(queue))
        self.callers.move_to_end(caller)
        self.remove(caller, request_id)
        self.record_start(now)
        return request_id

    def record_start(self, now: float) -> None:
        """Update the mean time between two starts while requests wait."""
        if self.last_start is not None:
            sample = now - self.last_start
            self.mean_start_interval += INTERVAL_WEIGHT * (
                sample - self.mean_start_interval
            )
        self.last_start = now if self.length else None

    def expected_wait(self, caller: str) -> float:
        """Return the expected wait in seconds of a new request of the caller."""
        own = len(self.callers.get(caller, ()))
        others = len(self.callers) - (caller in self.callers)
        ahead = min(self.length, own + others * (own + 1))
        return ahead * self.mean_start_interval

    def has_capacity(self, caller: str) -> bool:
        """Return whether a caller may queue one more request.

        The waiting requests of a caller are limited to the free capacity of the queue,
        so that a single caller can't fill it.
        """
        own = len(self.callers.get(caller, ()))
        return own < self.work_class.queue_limit - self.length


@dataclass(slots=True)
class ServiceQueue:
    """Schedule the class queues of one service."""

    classes: dict[str, ClassQueue] = field(default_factory=dict)
    virtual_time: float = 0.0

    def next_class(self, slots: int) -> ClassQueue | None:
        """Return the class queue to serve next, or None if no request waits.

        Classes that run on fewer slots than their floor go first. The others share
        the slots by weight, with start-time fair queueing.
        """
        waiting = [queue for queue in self.classes.values() if queue.length]
        if not waiting:
            return None
        below = [
            queue for queue in waiting if queue.running < queue.work_class.floor * slots
        ]
        if below:
            return min(below, key=lambda q: q.running / q.work_class.floor)
        return min(waiting, key=lambda q: (q.start_tag, not q.work_class.urgent))


@dataclass(slots=True)
class Admission:
    """Admit and queue the requests of one entry."""

    services: dict[str, ServiceQueue] = field(default_factory=dict)
    queue_keys: dict[str, QueueKey] = field(default_factory=dict)

    def queue(self, queue_key: QueueKey, work_class: WorkClass) -> ClassQueue:
        """Return the class queue of a key, after creating a missing one."""
        service = self.services.setdefault(queue_key.service, ServiceQueue())
        queue = service.classes.get(work_class.name)
        if queue is None:
            queue = ClassQueue(work_class)
            service.classes[work_class.name] = queue
        queue.work_class = work_class
        return queue

    def check(
        self, queue_key: QueueKey, work_class: WorkClass, remaining: float
    ) -> Rejection | None:
        """Return why a request is not admitted, or None if it is."""
        queue = self.queue(queue_key, work_class)
        wait = queue.expected_wait(queue_key.caller)
        if not queue.has_capacity(queue_key.caller):
            return Rejection(Reason.QUEUE_FULL, wait)
        if wait > remaining:
            return Rejection(Reason.WAIT_TOO_LONG, wait - remaining)
        return None

    def add(
        self,
        request_id: str,
        queue_key: QueueKey,
        work_class: WorkClass,
        first: bool = False,
    ) -> None:
        """Add a request to its queue."""
        queue = self.queue(queue_key, work_class)
        if not queue.length:
            virtual_time = self.services[queue_key.service].virtual_time
            queue.start_tag = max(queue.start_tag, virtual_time)
        queue.add(queue_key.caller, request_id, first)
        self.queue_keys[request_id] = queue_key

    def remove(self, request_id: str) -> None:
        """Remove a request in constant time, if it waits."""
        queue_key = self.queue_keys.pop(request_id, None)
        if queue_key is not None:
            queue = self.services[queue_key.service].classes[queue_key.work_class]
            queue.remove(queue_key.caller, request_id)

    def has_waiting(self, service_name: str) -> bool:
        """Return whether any request of a service waits."""
        service = self.services.get(service_name)
        if service is None:
            return False
        return any(queue.length for queue in service.classes.values())

    def take(self, service_name: str, slots: int, now: float) -> str | None:
        """Remove and return the next request of a service, and count it as running."""
        service = self.services.get(service_name)
        queue = service.next_class(slots) if service else None
        if service is None or queue is None:
            return None
        request_id = queue.take(now)
        del self.queue_keys[request_id]
        service.virtual_time = max(service.virtual_time, queue.start_tag)
        queue.start_tag += 1.0 / queue.work_class.weight
        queue.running += 1
        return request_id

    def release(self, queue_key: QueueKey) -> None:
        """Count a request as no longer running."""
        self.services[queue_key.service].classes[queue_key.work_class].running -= 1
