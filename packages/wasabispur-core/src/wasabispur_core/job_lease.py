"""Count how long tasks may run after the owner last extended their leases."""

from __future__ import annotations

from .job import AgentClock, SchedulerState
from .ownership import CLOCK_DRIFT, OUTAGE_GRACE

TASK_LEASE = 15.0
TASK_RENEWAL_INTERVAL = 5.0
"""Seconds of a task's lease, and between its renewals."""

STOP_TIMEOUT = 5.0
"""Seconds that a worker may take to stop a task."""


def lease_bound(clock: AgentClock) -> float:
    """Return when a lease anchored at an agent's clock is over on every clock.

    The agent sent the heartbeat that carries the anchor before it was received.
    """
    return clock.received + TASK_LEASE * (1 + CLOCK_DRIFT) + STOP_TIMEOUT


def adopted_lease_bound(scheduler: SchedulerState) -> float:
    """Return when the leases that a former owner extended are over."""
    grace = (OUTAGE_GRACE + TASK_LEASE) * (1 + CLOCK_DRIFT)
    return scheduler.acquired_at + grace + STOP_TIMEOUT


def adoption_deadline(scheduler: SchedulerState) -> float:
    """Return until when an agent has to report on an adopted task."""
    return scheduler.acquired_at + TASK_LEASE * (1 + CLOCK_DRIFT) + STOP_TIMEOUT
