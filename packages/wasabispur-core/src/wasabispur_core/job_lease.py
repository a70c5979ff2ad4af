"""Count how long tasks may run after the owner last extended their leases."""

from __future__ import annotations

from .job import AgentClock, JobBoard
from .ownership import DRIFT, OUTAGE_GRACE

TASK_LEASE = 15.0
TASK_RENEWAL = 5.0
"""Seconds of a task's lease, and between its renewals."""

STOP_TIME = 5.0
"""Seconds that a worker may take to stop a task."""


def lease_bound(clock: AgentClock) -> float:
    """Return when a lease anchored at an agent's clock is over on every clock.

    The agent sent the heartbeat that carries the anchor before it was received.
    """
    return clock.received + TASK_LEASE * (1 + DRIFT) + STOP_TIME


def unheard_bound(board: JobBoard) -> float:
    """Return when the leases that a former owner extended are over."""
    grace = (OUTAGE_GRACE + TASK_LEASE) * (1 + DRIFT)
    return board.acquired + grace + STOP_TIME


def adoption_deadline(board: JobBoard) -> float:
    """Return until when an agent has to report on an adopted task."""
    return board.acquired + TASK_LEASE * (1 + DRIFT) + STOP_TIME
