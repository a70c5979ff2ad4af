"""Define the guards of the job state chart.

The chart runs in the scheduler of the entry instance (a front-end process, or entry for
short) that owns the shard. The row is the job's record in the table service. A held job
has failed on several workers and stays until a caller cancels it.
"""

from __future__ import annotations

from ..action import holds
from .gang import failed_workers, FAILED_WORKERS_LIMIT
from .job import JobGuard, MemberPhase
from .job_record import JobState


class GangRecorded(JobGuard):
    """Check whether the row says that members may hold accelerators."""

    __slots__ = ()


class HeldRecorded(JobGuard):
    """Check whether the row says that the job is held."""

    __slots__ = ()


class LeaseHeld(JobGuard):
    """Check whether the shard lease allows this entry to start tasks now."""

    __slots__ = ()


class AtMostOnce(JobGuard):
    """Check whether the job is an at-most-once job."""

    __slots__ = ()


class Cancelled(JobGuard):
    """Check whether a caller cancelled the job."""

    __slots__ = ()


class MayRetry(JobGuard):
    """Check whether a failed job may run again on other workers."""

    __slots__ = ()


class AllReserved(JobGuard):
    """Check whether every member is reserved."""

    __slots__ = ()


class AllStarted(JobGuard):
    """Check whether every member has started."""

    __slots__ = ()


class AllSucceeded(JobGuard):
    """Check whether every member finished with success."""

    __slots__ = ()


class SomeFailed(JobGuard):
    """Check whether a member finished with a failure."""

    __slots__ = ()


@holds.register
def _(guard: GangRecorded) -> bool:
    return guard.subject.record.state.may_hold_accelerators


@holds.register
def _(guard: LeaseHeld) -> bool:
    return guard.state.lease.may_start(guard.now)


@holds.register
def _(guard: AtMostOnce) -> bool:
    return guard.subject.record.spec.at_most_once


@holds.register
def _(guard: Cancelled) -> bool:
    return guard.subject.cancelled


@holds.register
def _(guard: AllReserved) -> bool:
    members = guard.subject.members.values()
    return all(member.phase is MemberPhase.RESERVED for member in members)


@holds.register
def _(guard: AllStarted) -> bool:
    started = (MemberPhase.STARTED, MemberPhase.FINISHED)
    return all(m.phase in started for m in guard.subject.members.values())


@holds.register
def _(guard: AllSucceeded) -> bool:
    members = guard.subject.members.values()
    return bool(members) and all(member.succeeded for member in members)


@holds.register
def _(guard: SomeFailed) -> bool:
    return any(
        member.phase is MemberPhase.FINISHED and not member.succeeded
        for member in guard.subject.members.values()
    )


@holds.register
def _(guard: MayRetry) -> bool:
    record = guard.subject.record
    if record.spec.at_most_once:
        return False
    return len(failed_workers(guard.subject)) < FAILED_WORKERS_LIMIT


@holds.register
def _(guard: HeldRecorded) -> bool:
    return guard.subject.record.state is JobState.HELD
