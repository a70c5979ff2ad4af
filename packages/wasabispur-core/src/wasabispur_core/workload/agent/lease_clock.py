"""Convert the ends of leases from the agent's clock to the worker's clock.

A run ends on the worker when its lease expires. The agent extends leases only for a
limited time after its last report that the table service confirmed, so that the
entry instance that owns the shard can place the tasks elsewhere after it has
received no report for the lease horizon.
"""

from __future__ import annotations

from .runner_state import LeaseTimes, LocalWorker, ReportState

CLOCK_DRIFT = 0.02
"""Share of the elapsed time by which a worker's clock may be slow."""

CONTACT_LIMIT = 20.0
"""Seconds without contact after which an agent gives up a worker.

It no longer extends the lease, since each unanswered call may do so and the lease would
never be over, and removes the worker once nothing can run there.
"""

LEASE_MARGIN = 1.0
"""Seconds that the shard's owner waits beyond the lease horizon."""


def lease_end(
    worker: LocalWorker, report: ReportState, times: LeaseTimes, now: float
) -> float:
    """Return the lease's end on the worker's clock, or 0.0 to extend no lease.

    The lease is over on the agent's clock at the time recorded in lease_until, also if
    the worker's clock is slow. A call that the worker executes late doesn't prolong it,
    as its end is a time and not a duration.
    """
    if worker.clock is None or is_contact_lost(worker, now):
        return 0.0
    end = min(now + times.max_duration, report.confirmed_at + times.horizon)
    if end <= now:
        return 0.0
    worker.lease_until = max(worker.lease_until, end)
    elapsed = end - worker.clock.read_at
    return worker.clock.time + elapsed * (1 - CLOCK_DRIFT)


def is_contact_lost(worker: LocalWorker, now: float) -> bool:
    """Return whether a worker that can't be reached has left, or is silent too long."""
    if worker.reachable:
        return False
    return worker.departed or worker.silence(now) > CONTACT_LIMIT


def is_lease_over(worker: LocalWorker, now: float) -> bool:
    """Return whether the lease of a worker that can't be reached is over."""
    return not worker.reachable and now > worker.lease_until


def former_lease_end(times: LeaseTimes, now: float) -> float:
    """Return the time at which leases are over that were granted before now.

    An agent that meets a worker can't know which leases its former lifetime granted to
    it. lease_end() of that lifetime bounded them by the horizon; the longest duration
    is no bound, as it may have been longer under former settings.
    """
    return now + times.horizon


def owner_horizon(times: LeaseTimes) -> float:
    """Return the seconds without a report after which no run has a valid lease."""
    return times.horizon * (1 + 2 * CLOCK_DRIFT) + LEASE_MARGIN
