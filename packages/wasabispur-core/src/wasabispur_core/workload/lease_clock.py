"""Compute leases on a worker's clock from the agent's."""

from __future__ import annotations

from .runner_state import LeaseTimes, LocalWorker, ReportState

CLOCK_DRIFT = 0.02
"""Largest part by which a worker's clock is slow."""

LEASE_MARGIN = 1.0
"""Seconds that the owner waits beyond the lease horizon."""


def lease_end(
    worker: LocalWorker, report: ReportState, times: LeaseTimes, now: float
) -> float:
    """Return the lease's end on the worker's clock, or 0.0 to extend nothing.

    Remembers the time on the agent's clock to which the worker may go on alone.
    """
    if worker.clock_offset is None:
        return 0.0
    end = min(now + times.max_duration, report.confirmed_at + times.horizon)
    if end <= now:
        return 0.0
    drifted = now + (end - now) * (1 + 2 * CLOCK_DRIFT)
    worker.lease_until = max(worker.lease_until, drifted)
    return end + worker.clock_offset


def owner_horizon(times: LeaseTimes) -> float:
    """Return the seconds of silence after which nothing runs under a lease."""
    return times.horizon * (1 + 2 * CLOCK_DRIFT) + LEASE_MARGIN
