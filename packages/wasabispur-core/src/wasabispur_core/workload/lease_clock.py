"""Convert the ends of leases from the agent's clock to the worker's clock.

A run ends on the worker when its lease expires. The agent extends leases only for a
limited time after its last report that the table service confirmed, so that the
entry instance that owns the shard can place the tasks elsewhere after it has
received no report for the lease horizon.
"""

from __future__ import annotations

from .runner_state import LeaseTimes, LocalWorker, ReportState

CLOCK_DRIFT = 0.02
"""Largest relative drift of a worker's clock, as a share of the elapsed time."""

LEASE_MARGIN = 1.0
"""Seconds that the shard's owner waits beyond the lease horizon."""


def lease_end(
    worker: LocalWorker, report: ReportState, times: LeaseTimes, now: float
) -> float:
    """Return the lease's end on the worker's clock, or 0.0 to extend no lease.

    Records in lease_until the latest time on the agent's clock at which the worker may
    take the lease as valid, since its clock may be slow.
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
    """Return the seconds without a report after which no run has a valid lease."""
    return times.horizon * (1 + 2 * CLOCK_DRIFT) + LEASE_MARGIN
