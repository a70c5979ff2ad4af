"""Choose the service endpoint to which an entry instance sends a request.

The concurrency limit of an endpoint follows its latency, a refusal pauses it, and
repeated failures eject it for some time. Requests may spill over to endpoints in
other regions within a budget of bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass
from random import Random

INITIAL_CONCURRENCY_LIMIT = 2.0
"""Concurrency limit of a new endpoint."""

CONCURRENCY_DECREASE_FACTOR = 0.7
"""Factor applied to the concurrency limit at each decrease."""

LATENCY_FACTOR = 2.0
"""Ratio of recent to baseline latency above which the concurrency limit decreases."""

# The recent mean has to smooth out the usual spread of run times.
FAST_WEIGHT = 0.1
SLOW_WEIGHT = 0.02
"""Weights of a new sample in the recent and in the baseline mean latency."""

DECREASE_SAMPLES = 20
"""Completed runs before the first decrease by latency, and between two decreases."""

FAILURE_WEIGHT = 0.2
"""Weight of a new result in the moving average of the failure rate."""

EJECTION_RATE = 0.6
"""Recent failure rate from which on an endpoint is ejected."""

EJECTION_BASE = 5.0
EJECTION_LIMIT = 60.0
"""Base and limit in seconds of an ejection, which doubles with each repetition."""

REFUSAL_PAUSE = 0.1
"""Longest pause in seconds after an agent had no free slot."""

SPILL_BYTES_PER_SECOND = 1024 * 1024
SPILL_BURST_BYTES = 8 * 1024 * 1024
"""Rate and burst of the request bodies that are sent to other regions."""


@dataclass(slots=True)
class SpillBudget:
    """Limit the bytes that are sent to other regions, as a token bucket."""

    balance: float = SPILL_BURST_BYTES
    updated: float = 0.0

    def allows(self, size: int, now: float) -> bool:
        """Return whether size bytes may be sent now."""
        earned = (now - self.updated) * SPILL_BYTES_PER_SECOND
        self.balance = min(SPILL_BURST_BYTES, self.balance + earned)
        self.updated = now
        return self.balance >= size

    def spend(self, size: int) -> None:
        """Deduct bytes that were sent."""
        self.balance -= size


@dataclass(slots=True, kw_only=True)
class EndpointView:
    """Represent one endpoint as an entry knows it.

    Latencies are in seconds, points in time in monotonic seconds. The baseline is
    the long-term mean that the recent latency is compared with.
    """

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
        """Return the share of the concurrency limit that this entry's requests use."""
        return self.in_flight / max(min(self.concurrency_limit, self.slots), 1.0)

    @property
    def cost(self) -> float:
        """Return the expected time of one more request, relative to other endpoints."""
        return (self.load + 0.1) * max(self.latency, 0.001)

    def can_take(self, now: float) -> bool:
        """Return whether the endpoint may get another request."""
        if self.leaving or now < self.paused_until:
            return False
        return self.in_flight + 1 <= max(min(self.concurrency_limit, self.slots), 1.0)

    def record_success(self, latency: float) -> None:
        """Record a completed call, and adjust the concurrency limit.

        The limit decreases if the recent latency is above LATENCY_FACTOR times the
        baseline, and increases otherwise.
        """
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
        """Add a sample to the recent and to the baseline mean.

        The first samples weigh equally. Otherwise one short first run would set a
        baseline that all later runs exceed, and keep the concurrency limit at one.
        """
        self.samples += 1
        fast = max(FAST_WEIGHT, 1 / self.samples)
        slow = max(SLOW_WEIGHT, 1 / self.samples)
        self.latency += fast * (latency - self.latency)
        self.baseline_latency += slow * (latency - self.baseline_latency)

    def record_refusal(self, now: float, random: Random) -> float:
        """Decrease the concurrency limit, and return the pause in seconds."""
        self.decrease_concurrency_limit()
        pause = random.uniform(REFUSAL_PAUSE / 4, REFUSAL_PAUSE)
        self.paused_until = now + pause
        return pause

    def record_failure(self, now: float) -> None:
        """Record a failed call, and eject the endpoint at a high failure rate."""
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
        if self.failure_rate < EJECTION_RATE or now < self.ejected_until:
            return
        delay = min(EJECTION_LIMIT, EJECTION_BASE * 2.0**self.ejections)
        self.ejected_until = now + delay
        self.ejections += 1
        # After the ejection a single request at a time probes for recovery.
        self.concurrency_limit = 1.0
        self.slow_start = True

    def decrease_concurrency_limit(self) -> None:
        """Decrease the concurrency limit by a fixed factor, and end the slow start."""
        self.slow_start = False
        self.concurrency_limit = max(
            1.0, self.concurrency_limit * CONCURRENCY_DECREASE_FACTOR
        )


def serving_endpoints(
    endpoints: Iterable[EndpointView], service: str
) -> list[EndpointView]:
    """Return the endpoints of a service that accept new work."""
    return [e for e in endpoints if e.service == service and not e.leaving]


def healthy_endpoints(serving: list[EndpointView], now: float) -> list[EndpointView]:
    """Return the endpoints that are not ejected.

    If most are ejected, the fault more likely lies elsewhere, and all are returned.
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
    """Return the cheaper of two random endpoints that can take a request, or None.

    Endpoints that are not avoided are preferred, and among these the ones of the
    local region. Without allow_remote, other regions are excluded.
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
