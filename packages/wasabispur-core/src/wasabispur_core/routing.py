"""Choose the endpoint that gets a request."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass
from random import Random

INITIAL_CONCURRENCY_LIMIT = 2.0
"""Requests that a new endpoint gets at once."""

CONCURRENCY_DECREASE_FACTOR = 0.7
LATENCY_FACTOR = 2.0
"""Growth of the latency over its long-term mean that lowers the concurrency limit."""

# The fast mean has to be smooth enough for the usual spread of run times.
FAST_WEIGHT = 0.1
SLOW_WEIGHT = 0.02

DECREASE_SAMPLES = 20
"""Completed runs before the first decrease by latency, and between two."""

FAILURE_WEIGHT = 0.2
EJECTION_RATE = 0.6
"""Recent failure rate of an endpoint above which it is ejected."""

EJECTION_BASE = 5.0
EJECTION_LIMIT = 60.0
"""Bounds in seconds of the time for which an endpoint is ejected."""

REFUSAL_PAUSE = 0.1
"""Longest pause in seconds after an agent had no free slot."""

SPILL_BYTES_PER_SECOND = 1024 * 1024
SPILL_BURST_BYTES = 8 * 1024 * 1024
"""Budget for request bodies sent to other regions."""


@dataclass(slots=True)
class SpillBudget:
    """Bound the bytes that go to other regions."""

    balance: float = SPILL_BURST_BYTES
    updated: float = 0.0

    def allows(self, size: int, now: float) -> bool:
        """Return whether size bytes may be sent now."""
        earned = (now - self.updated) * SPILL_BYTES_PER_SECOND
        self.balance = min(SPILL_BURST_BYTES, self.balance + earned)
        self.updated = now
        return self.balance >= size

    def spend(self, size: int) -> None:
        """Count bytes that were sent."""
        self.balance -= size


@dataclass(slots=True, kw_only=True)
class EndpointView:
    """Hold what an entry knows of one endpoint; times are monotonic seconds."""

    agent_id: str
    service: str
    region: str
    slots: int
    in_flight: int = 0
    leaving: bool = False
    concurrency_limit: float = INITIAL_CONCURRENCY_LIMIT
    slow_start: bool = True
    samples: int = 0
    next_decrease: int = DECREASE_SAMPLES
    latency: float = 0.0
    baseline_latency: float = 0.0
    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    paused_until: float = 0.0

    @property
    def load(self) -> float:
        """Return the share of the concurrency limit that this entry's requests fill."""
        return self.in_flight / max(min(self.concurrency_limit, self.slots), 1.0)

    @property
    def cost(self) -> float:
        """Return the expected time of one more request, relative to others."""
        return (self.load + 0.1) * max(self.latency, 0.001)

    def can_take(self, now: float) -> bool:
        """Return whether the endpoint may get another request."""
        if self.leaving or now < self.paused_until:
            return False
        return self.in_flight + 1 <= max(min(self.concurrency_limit, self.slots), 1.0)

    def record_success(self, latency: float) -> None:
        """Raise the concurrency limit, or lower it if the latency has grown much."""
        self.failure_rate *= 1 - FAILURE_WEIGHT
        self.ejections = 0 if self.failure_rate < 0.01 else self.ejections
        self.record_latency(latency)
        grown = self.latency > LATENCY_FACTOR * self.baseline_latency
        if grown and self.samples >= self.next_decrease:
            self.next_decrease = self.samples + DECREASE_SAMPLES
            self.decrease_concurrency_limit()
            return
        step = 1.0 if self.slow_start else 1.0 / self.concurrency_limit
        self.concurrency_limit = min(self.concurrency_limit + step, float(self.slots))

    def record_latency(self, latency: float) -> None:
        """Add a sample to both means.

        The first samples weigh equally: one short run alone would set a baseline
        that all later runs exceed, and hold the concurrency limit at one.
        """
        self.samples += 1
        fast = max(FAST_WEIGHT, 1 / self.samples)
        slow = max(SLOW_WEIGHT, 1 / self.samples)
        self.latency += fast * (latency - self.latency)
        self.baseline_latency += slow * (latency - self.baseline_latency)

    def record_refusal(self, now: float, random: Random) -> float:
        """Lower the concurrency limit, and return the pause in seconds."""
        self.decrease_concurrency_limit()
        pause = random.uniform(REFUSAL_PAUSE / 4, REFUSAL_PAUSE)
        self.paused_until = now + pause
        return pause

    def record_failure(self, now: float) -> None:
        """Count a failed call, and eject the endpoint after too many."""
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
        if self.failure_rate < EJECTION_RATE or now < self.ejected_until:
            return
        delay = min(EJECTION_LIMIT, EJECTION_BASE * 2.0**self.ejections)
        self.ejected_until = now + delay
        self.ejections += 1
        # After the ejection one request at a time tells whether it recovered.
        self.concurrency_limit = 1.0
        self.slow_start = True

    def decrease_concurrency_limit(self) -> None:
        """Decrease the concurrency limit by a fixed share, and end the slow start."""
        self.slow_start = False
        self.concurrency_limit = max(
            1.0, self.concurrency_limit * CONCURRENCY_DECREASE_FACTOR
        )


def serving_endpoints(
    endpoints: Iterable[EndpointView], service: str
) -> list[EndpointView]:
    """Return the endpoints of a service that take new work."""
    return [e for e in endpoints if e.service == service and not e.leaving]


def healthy_endpoints(serving: list[EndpointView], now: float) -> list[EndpointView]:
    """Return the endpoints that are not ejected.

    If most look unhealthy, the fault is more likely elsewhere, and all count.
    """
    healthy = [endpoint for endpoint in serving if endpoint.ejected_until <= now]
    return healthy if len(healthy) * 2 >= len(serving) else serving


def choose_endpoint(
    endpoints: Iterable[EndpointView],
    service: str,
    region: str,
    random: Random,
    now: float,
    avoided: Set[str] = frozenset(),
    allow_remote: bool = True,
) -> EndpointView | None:
    """Return the cheaper of two random endpoints that can take a request.

    Endpoints that are not avoided go first, then those of the local region.
    """
    healthy = healthy_endpoints(serving_endpoints(endpoints, service), now)
    free = [endpoint for endpoint in healthy if endpoint.can_take(now)]
    if not allow_remote:
        free = [endpoint for endpoint in free if endpoint.region == region]
    fresh = [endpoint for endpoint in free if endpoint.agent_id not in avoided]
    candidates = fresh or free
    local = [endpoint for endpoint in candidates if endpoint.region == region]
    candidates = local or candidates
    if not candidates:
        return None
    sample = random.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda endpoint: endpoint.cost)
