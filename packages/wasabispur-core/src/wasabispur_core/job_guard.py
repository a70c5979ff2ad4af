"""Define the conditions in the job chart."""

from __future__ import annotations

from .action import holds
from .gang import failed_workers, FAILED_WORKERS_LIMIT
from .job import JobGuard, MemberPhase
from .job_record import JobState


class GangRecorded(JobGuard):
    """Hold if the row says that members may hold accelerators."""

    __slots__ = ()


class HeldRecorded(JobGuard):
    """Hold if the row says that the job is held."""

    __slots__ = ()


class LeaseHeld(JobGuard):
    """Hold if this entry may start tasks now."""

    __slots__ = ()


class AtMostOnce(JobGuard):
    """Hold if the job must not start twice without proof."""

    __slots__ = ()


class Cancelled(JobGuard):
    """Hold if a caller cancelled the job."""

    __slots__ = ()


class MayRetry(JobGuard):
    """Hold if a failed job may run again on other workers."""

    __slots__ = ()


class AllReserved(JobGuard):
    """Hold if every member is reserved."""

    __slots__ = ()


class AllStarted(JobGuard):
    """Hold if every member started."""

    __slots__ = ()


class AllSucceeded(JobGuard):
    """Hold if every member finished well."""

    __slots__ = ()


class SomeFailed(JobGuard):
    """Hold if a member finished badly."""

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
