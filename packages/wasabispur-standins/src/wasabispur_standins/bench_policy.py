"""Define the policies that the request benchmark compares."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Set
from dataclasses import dataclass, field
from random import Random

from wasabispur_core.chart import Chart
from wasabispur_core.protocol import Reason
from wasabispur_core.requests.admission import Admission, QueueKey, Rejection
from wasabispur_core.requests.request import RequestState
from wasabispur_core.requests.routing import EndpointView, serving_endpoints
from wasabispur_core.work_class import WorkClass

QUEUE_LIMIT = 10_000
"""Maximum number of queued requests under FIFO and strict priority."""


@dataclass(slots=True)
class FifoAdmission(Admission):
    """Admit all requests of a service in the order of their arrival.

    Classes, callers and deadlines are ignored. Each priority has one queue.
    """

    queues: dict[int, OrderedDict[str, QueueKey]] = field(default_factory=dict)

    def priority(self, work_class: WorkClass) -> int:
        """Return the priority of a class; lower goes first."""
        return 0

    def check(
        self, queue_key: QueueKey, work_class: WorkClass, remaining: float
    ) -> Rejection | None:
        """Return a rejection if QUEUE_LIMIT requests are queued, else None."""
        if sum(len(queue) for queue in self.queues.values()) < QUEUE_LIMIT:
            return None
        return Rejection(Reason.QUEUE_FULL, 1.0)

    def add(
        self,
        request_id: str,
        queue_key: QueueKey,
        work_class: WorkClass,
        first: bool = False,
    ) -> None:
        """Queue a request, at the head of its queue if first is set."""
        queue = self.queues.setdefault(self.priority(work_class), OrderedDict())
        queue[request_id] = queue_key
        self.queue_keys[request_id] = queue_key
        if first:
            queue.move_to_end(request_id, last=False)

    def remove(self, request_id: str) -> None:
        """Remove a queued request; an unknown id is ignored."""
        self.queue_keys.pop(request_id, None)
        for queue in self.queues.values():
            queue.pop(request_id, None)

    def has_waiting(self, service_name: str) -> bool:
        """Return whether any request is queued."""
        return bool(self.queue_keys)

    def take(self, service_name: str, slots: int, now: float) -> str | None:
        """Remove the next request from its queue and return its id."""
        for priority in sorted(self.queues):
            if self.queues[priority]:
                request_id, _ = self.queues[priority].popitem(last=False)
                del self.queue_keys[request_id]
                return request_id
        return None

    def release(self, queue_key: QueueKey) -> None:
        """Do nothing; these policies have no limit per queue key."""


@dataclass(slots=True)
class PriorityAdmission(FifoAdmission):
    """Serve urgent requests strictly before all others."""

    def priority(self, work_class: WorkClass) -> int:
        """Return the priority of a class; lower goes first."""
        return 0 if work_class.urgent else 1


@dataclass(slots=True)
class RandomRoutingState(RequestState):
    """Represent a request state that chooses endpoints at random."""

    def choose(
        self, service: str, now: float, avoided: Set[str] = frozenset()
    ) -> EndpointView | None:
        """Return a random endpoint of the service with a free slot, or None."""
        serving = serving_endpoints(self.endpoints.values(), service)
        free = [endpoint for endpoint in serving if endpoint.in_flight < endpoint.slots]
        return self.random.choice(free) if free else None


def build_state(policy: str, chart: Chart, random: Random) -> RequestState:
    """Return the request state of a policy."""
    if policy == "random routing":
        return RandomRoutingState("here", chart, random)
    state = RequestState("here", chart, random)
    if policy == "FIFO":
        state.admission = FifoAdmission()
    if policy == "strict priority":
        state.admission = PriorityAdmission()
    return state


POLICIES = ("wasabispur", "FIFO", "strict priority", "random routing")
