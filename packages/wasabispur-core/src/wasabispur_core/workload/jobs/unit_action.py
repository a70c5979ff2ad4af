"""Define the actions and guards of the unit state chart.

Its events come from the scheduler at the entry instance that owns the shard.
"""

from __future__ import annotations

from math import inf
from typing import Any

from ...action import Action, Guard, holds, perform
from ...chart import Chart, ChartCatalogue
from ...command import Command
from ..workers.worker import EndKind
from .progress import UnknownEnd
from .unit import RunEnded, Unit, UnitMember, UnitPlaced, UnknownEndLearned

COUNTED_FAILURES = frozenset((EndKind.FAILED,))
"""Ends that count as failed attempts; the system itself causes all others."""


UNKNOWN_ENDS_LIMIT = 64
"""Unknown ends of a long-running unit that are remembered."""


class UnitAction(Action[Any, Unit]):
    """Define the base of the unit state chart's actions.

    The state of an action is the attempt limit, and its subject the unit.
    """

    __slots__ = ()


class UnitGuard(Guard[Any, Unit]):
    """Define the base of the unit state chart's guards.

    The state of a guard is the attempt limit, and its subject the unit.
    """

    __slots__ = ()


class BeginRun(UnitAction):
    """Start the next run on the chosen workers."""

    __slots__ = ()


class RecordRunEnd(UnitAction):
    """Record the end of one member, its checkpoint, and a failure or a crash."""

    __slots__ = ()


class RecordLearnedEnd(UnitAction):
    """Record how a former run ended, and count its failure or its crash."""

    __slots__ = ()


class EndAllMembers(UnitAction):
    """Mark all members as ended, because a gang completes as a whole."""

    __slots__ = ()


class FinishRun(UnitAction):
    """Count a failed run, and record the time since which the unit waits again."""

    __slots__ = ()


class RecordReadyTime(UnitAction):
    """Record the time since which the unit waits for placement."""

    __slots__ = ()


class CountPreemption(UnitAction):
    """Count how often the unit has been told to stop and be placed again."""

    __slots__ = ()


class MemberDone(UnitGuard):
    """Check that a member is done and that the step is not long-running."""

    __slots__ = ()


class LastMember(UnitGuard):
    """Check that all other members have ended."""

    __slots__ = ()


class MustNotRunAgain(UnitGuard):
    """Check that the last attempt failed or that too many workers have crashed."""

    __slots__ = ()


class LearnedOfLastAttempt(UnitGuard):
    """Check that a former run was the last attempt, or one crash too many."""

    __slots__ = ()


def unit_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the unit state chart, bound to its actions and guards."""
    return catalogue.bind(
        "unit",
        actions=UnitAction.__subclasses__(),
        guards=UnitGuard.__subclasses__(),
    )


@holds.register
def _(guard: MemberDone) -> bool:
    message = guard.message
    long_running = guard.subject.step.long_running
    return (
        isinstance(message, RunEnded)
        and message.kind is EndKind.DONE
        and not long_running
    )


@holds.register
def _(guard: LastMember) -> bool:
    message = guard.message
    index = message.index if isinstance(message, RunEnded) else None
    return all(
        member.ended or member.index == index for member in guard.subject.members
    )


@holds.register
def _(guard: MustNotRunAgain) -> bool:
    unit, message = guard.subject, guard.message
    if (
        isinstance(message, RunEnded)
        and unit.crashes_after(message, guard.now).limit_reached
    ):
        return True
    if unit.step.long_running:
        return False
    failed = unit.run_failed or (
        isinstance(message, RunEnded) and message.kind in COUNTED_FAILURES
    )
    return failed and unit.failures + 1 >= guard.state


@holds.register
def _(guard: LearnedOfLastAttempt) -> bool:
    unit, message = guard.subject, guard.message
    if not isinstance(message, UnknownEndLearned):
        return False
    if unit.crashes_learned(message).limit_reached:
        return True
    failed = message.kind in COUNTED_FAILURES and not unit.step.long_running
    return failed and unit.failures + 1 >= guard.state


@perform.register
def _(action: BeginRun) -> list[Command]:
    unit, message = action.subject, action.message
    if not isinstance(message, UnitPlaced):
        return []
    unit.run += 1
    unit.run_failed = False
    unit.observed_end = inf
    unit.start_checkpoint = unit.checkpoint
    first = unit.unit_id.position
    members = [
        UnitMember(index=first + offset, worker_ref=worker_ref, started_at=action.now)
        for offset, worker_ref in enumerate(message.placement)
    ]
    unit.set_members(members)
    return []


@perform.register
def _(action: RecordRunEnd) -> list[Command]:
    unit, message = action.subject, action.message
    if not isinstance(message, RunEnded):
        return []
    unit.crashes = unit.crashes_after(message, action.now)
    member = unit.member(message.index)
    if member is not None:
        member.ended = True
        member.broken = message.kind is EndKind.BROKEN
        if message.kind is EndKind.UNKNOWN:
            _add_unknown_end(unit, _unknown_end(unit, member, action.now))
    if message.checkpoint and unit.step.checkpointing:
        unit.checkpoint = message.checkpoint
    unit.run_failed |= message.kind in COUNTED_FAILURES
    return []


def _add_unknown_end(unit: Unit, end: UnknownEnd) -> None:
    """Record an end; of a step without an attempt limit, only the latest ones."""
    unit.unknown_ends += (end,)
    if unit.step.long_running:
        unit.unknown_ends = unit.unknown_ends[-UNKNOWN_ENDS_LIMIT:]


def _unknown_end(unit: Unit, member: UnitMember, now: float) -> UnknownEnd:
    return UnknownEnd(
        run=unit.run,
        index=member.index,
        worker_id=member.worker_ref.worker_id,
        incarnation=member.worker_ref.incarnation,
        ran=round(now - member.started_at, 2),
    )


@perform.register
def _(action: RecordLearnedEnd) -> list[Command]:
    unit, message = action.subject, action.message
    if not isinstance(message, UnknownEndLearned):
        return []
    unit.crashes = unit.crashes_learned(message)
    failed = message.kind in COUNTED_FAILURES
    unit.failures += failed
    # A run counts as one attempt, however many of its members failed.
    unit.unknown_ends = tuple(
        end
        for end in unit.unknown_ends
        if end != message.end and not (failed and end.run == message.end.run)
    )
    return []


@perform.register
def _(action: EndAllMembers) -> list[Command]:
    for member in action.subject.members:
        member.ended = True
    return []


@perform.register
def _(action: FinishRun) -> list[Command]:
    unit = action.subject
    unit.failures += unit.run_failed
    unit.run_failed = False
    unit.ready_at = action.now
    return []


@perform.register
def _(action: RecordReadyTime) -> list[Command]:
    action.subject.ready_at = action.now
    return []


@perform.register
def _(action: CountPreemption) -> list[Command]:
    action.subject.preemptions += 1
    return []
