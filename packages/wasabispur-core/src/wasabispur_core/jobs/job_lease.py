"""Calculate until when tasks may run after the shard's owner extended their leases.

The times are on the owner's clock and allow for the drift of the agents' clocks.
"""

from __future__ import annotations

from ..protocol import TASK_LEASE
from ..sharding.ownership import CLOCK_DRIFT, OUTAGE_GRACE
from .job import AgentClock, SchedulerState

TASK_RENEWAL_INTERVAL = 5.0
"""Interval between the renewals of a task's lease, in seconds."""

STOP_TIMEOUT = 5.0
"""Seconds that a worker may take to stop a task."""


def lease_bound(clock: AgentClock) -> float:
    """Return the time at which a lease anchored at an agent's clock has expired.

    The agent read its clock before the owner received the reading, so the result is
    never too early. It includes the clock drift and the time to stop the task.
    """
    return clock.received + TASK_LEASE * (1 + CLOCK_DRIFT) + STOP_TIMEOUT


def adopted_lease_bound(scheduler: SchedulerState) -> float:
    """Return the time at which all leases that a former owner extended have expired.

    A former owner that can't reach the table service may have renewed them for
    OUTAGE_GRACE seconds.
    """
    grace = (OUTAGE_GRACE + TASK_LEASE) * (1 + CLOCK_DRIFT)
    return scheduler.acquired_at + grace + STOP_TIMEOUT


def adoption_deadline(scheduler: SchedulerState) -> float:
    """Return the time by which an agent has to report on an adopted task."""
    return scheduler.acquired_at + TASK_LEASE * (1 + CLOCK_DRIFT) + STOP_TIMEOUT
