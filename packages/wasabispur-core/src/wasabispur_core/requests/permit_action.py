"""Implement the actions and guards of the attempt's state chart."""

from __future__ import annotations

from functools import singledispatch

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import CancelTimer, Command, SetTimer
from ..message import Message
from ..protocol import (
    AttemptNotRun,
    AttemptRunning,
    CancelAttempt,
    PermitGranted,
    PermitRefused,
    Reason,
    StartAttempt,
)
from .permit import (
    Attempt,
    CallEndpoint,
    PERMIT_LIFETIME,
    PermitExpired,
    PermitState,
    SendToEntryLink,
)


class PermitAction(Action[PermitState, Attempt]):
    """Define an action of the attempt's state chart."""

    __slots__ = ()


class PermitGuard(Guard[PermitState, Attempt]):
    """Define a guard of the attempt's state chart."""

    __slots__ = ()


class SendPermit(PermitAction):
    """Grant the start permit."""

    __slots__ = ()


class RefusePermit(PermitAction):
    """Refuse the start permit and discard the attempt."""

    __slots__ = ()


class Call(PermitAction):
    """Call the endpoint."""

    __slots__ = ()


class RecordNotRun(PermitAction):
    """Record a tombstone as proof that the attempt did not run."""

    __slots__ = ()


class SendNotRun(PermitAction):
    """Report to the entry that the attempt did not run."""

    __slots__ = ()


class RecordResult(PermitAction):
    """Record a tombstone of the attempt and send its result to the entry."""

    __slots__ = ()


class SendRunning(PermitAction):
    """Report to the entry that the attempt is still running."""

    __slots__ = ()


class SlotFree(PermitGuard):
    """Check that a slot is free and the agent is not leaving."""

    __slots__ = ()


class PermitValid(PermitGuard):
    """Check that the start arrives within the permit's lifetime."""

    __slots__ = ()


def attempt_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the attempt's state chart bound to its actions and guards."""
    return catalogue.bind(
        "attempt",
        actions=PermitAction.__subclasses__(),
        guards=PermitGuard.__subclasses__(),
    )


@holds.register
def _(guard: SlotFree) -> bool:
    return guard.state.free_slots > 0 and not guard.state.leaving


@holds.register
def _(guard: PermitValid) -> bool:
    return guard.now < guard.subject.permit_expiry


@perform.register
def _(action: SendPermit) -> list[Command]:
    attempt = action.subject
    action.state.attempts[attempt.attempt_id] = attempt
    granted = PermitGranted(
        attempt_id=attempt.attempt_id,
        permit_id=attempt.permit_id,
        lifetime=PERMIT_LIFETIME,
    )
    timer = SetTimer(
        timer_id=attempt.attempt_id,
        delay=PERMIT_LIFETIME,
        message=PermitExpired(
            attempt_id=attempt.attempt_id, permit_id=attempt.permit_id
        ),
    )
    return [timer, SendToEntryLink(entry_id=attempt.entry_id, message=granted)]


@perform.register
def _(action: RefusePermit) -> list[Command]:
    reason = Reason.LEAVING if action.state.leaving else Reason.NO_FREE_SLOT
    refused = PermitRefused(attempt_id=action.subject.attempt_id, reason=reason)
    return [SendToEntryLink(entry_id=action.subject.entry_id, message=refused)]


@perform.register
def _(action: Call) -> list[Command]:
    message = action.message
    if not isinstance(message, StartAttempt):
        return []
    timer = CancelTimer(timer_id=message.attempt_id)
    return [timer, CallEndpoint(start=message)]


@perform.register
def _(action: RecordNotRun) -> list[Command]:
    _record(action, _not_run(action))
    return [CancelTimer(timer_id=action.subject.attempt_id)]


@perform.register
def _(action: SendNotRun) -> list[Command]:
    return [SendToEntryLink(entry_id=action.subject.entry_id, message=_not_run(action))]


@perform.register
def _(action: RecordResult) -> list[Command]:
    _record(action, action.message)
    return [SendToEntryLink(entry_id=action.subject.entry_id, message=action.message)]


@perform.register
def _(action: SendRunning) -> list[Command]:
    running = AttemptRunning(attempt_id=action.subject.attempt_id)
    return [SendToEntryLink(entry_id=action.subject.entry_id, message=running)]


def _not_run(action: PermitAction) -> AttemptNotRun:
    return AttemptNotRun(
        attempt_id=action.subject.attempt_id, reason=_not_run_reason(action.message)
    )


@singledispatch
def _not_run_reason(message: Message) -> Reason:
    return Reason.PERMIT_EXPIRED


@_not_run_reason.register
def _(message: CancelAttempt) -> Reason:
    return Reason.CANCELLED


def _record(action: PermitAction, result: Message) -> None:
    attempt = action.subject
    action.state.attempts.pop(attempt.attempt_id, None)
    action.state.tombstones.add(attempt.attempt_id, attempt.permit_id, result)
