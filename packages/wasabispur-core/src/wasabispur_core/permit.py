"""Decide at the agent which attempts may start, and remember how they ended."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch

from .action import Action, Guard, holds, perform
from .chart import Chart, ChartCatalogue, Lifecycle
from .command import CancelTimer, Command, SetTimer
from .error import UnhandledMessageError
from .message import Message
from .protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptRunning,
    AttemptUnknown,
    CancelAttempt,
    PermitGranted,
    PermitRefused,
    Reason,
    RequestPermit,
    ResolveAttempt,
    StartAttempt,
)

PERMIT_LIFETIME = 2.0
"""Seconds within which a granted start has to arrive."""

TOMBSTONE_LIMIT = 10_000
"""Ended attempts whose end an agent remembers."""


class Ending(Enum):
    """Tell how an attempt ended at the agent."""

    COMPLETED = "completed"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class FromEntry(Message):
    """Wrap a message with the id of the entry that sent it."""

    entry_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitExpired(Message):
    """Report that a permit's lifetime is over."""

    attempt_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendToEntryLink(Command):
    """Send a message on the agent's stream to one entry."""

    entry_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class CallEndpoint(Command):
    """Send the request of an attempt to the endpoint."""

    start: StartAttempt


@dataclass(slots=True)
class Attempt:
    """Hold the state of one attempt at the agent."""

    attempt_id: str
    entry_id: str
    lifecycle: Lifecycle
    permit_expiry: float


class PermitAction(Action["PermitState", Attempt]):
    """Name an effect in the attempt chart."""

    __slots__ = ()


class PermitGuard(Guard["PermitState", Attempt]):
    """Name a condition in the attempt chart."""

    __slots__ = ()


class SendPermit(PermitAction):
    """Grant the start permit."""

    __slots__ = ()


class RefusePermit(PermitAction):
    """Refuse the start permit and forget the attempt."""

    __slots__ = ()


class Call(PermitAction):
    """Call the endpoint."""

    __slots__ = ()


class RecordNotRun(PermitAction):
    """Keep a tombstone which proves that the attempt did not run."""

    __slots__ = ()


class SendNotRun(PermitAction):
    """Tell the entry that the attempt did not run."""

    __slots__ = ()


class RecordResult(PermitAction):
    """Keep a tombstone of the attempt and pass its result to the entry."""

    __slots__ = ()


class SendRunning(PermitAction):
    """Tell the entry that the attempt is still running."""

    __slots__ = ()


class SlotFree(PermitGuard):
    """Hold if a slot is free and the agent is not leaving."""

    __slots__ = ()


class PermitValid(PermitGuard):
    """Hold if the start arrives within the permit's lifetime."""

    __slots__ = ()


@dataclass(slots=True)
class PermitState:
    """Own the slots, the attempts in progress and the tombstones of an agent."""

    slots: int
    chart: Chart
    leaving: bool = False
    attempts: dict[str, Attempt] = field(default_factory=dict)
    tombstones: OrderedDict[str, Ending] = field(default_factory=OrderedDict)

    @property
    def free_slots(self) -> int:
        """Return the slots that neither a permit nor a running attempt holds."""
        return self.slots - len(self.attempts)


def attempt_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the attempt chart bound to its actions and guards."""
    return catalogue.bind(
        "attempt",
        actions=PermitAction.__subclasses__(),
        guards=PermitGuard.__subclasses__(),
    )


@singledispatch
def decide(message: Message, state: PermitState, now: float) -> list[Command]:
    """Return the commands that a message to the permit component causes."""
    raise UnhandledMessageError(
        f"the permit component does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: FromEntry, state: PermitState, now: float) -> list[Command]:
    return decide_for_entry(message.message, message.entry_id, state, now)


@decide.register(PermitExpired)
@decide.register(AttemptCompleted)
@decide.register(AttemptNotRun)
@decide.register(AttemptUnknown)
def _(
    message: PermitExpired | AttemptCompleted | AttemptNotRun | AttemptUnknown,
    state: PermitState,
    now: float,
) -> list[Command]:
    attempt = state.attempts.get(message.attempt_id)
    if attempt is None:
        return []
    return attempt.lifecycle.handle(message, state, attempt, now)


@singledispatch
def decide_for_entry(
    message: Message, entry_id: str, state: PermitState, now: float
) -> list[Command]:
    """Return the commands that a message from an entry causes."""
    raise UnhandledMessageError(
        f"the permit component does not take {type(message).__name__} from an entry",
        "send it to the component that handles it",
    )


@decide_for_entry.register
def _(
    message: RequestPermit, entry_id: str, state: PermitState, now: float
) -> list[Command]:
    if message.attempt_id in state.attempts or message.attempt_id in state.tombstones:
        return []
    attempt = Attempt(
        message.attempt_id, entry_id, state.chart.start(), now + PERMIT_LIFETIME
    )
    return attempt.lifecycle.handle(message, state, attempt, now)


@decide_for_entry.register(StartAttempt)
@decide_for_entry.register(CancelAttempt)
@decide_for_entry.register(ResolveAttempt)
def _(
    message: StartAttempt | CancelAttempt | ResolveAttempt,
    entry_id: str,
    state: PermitState,
    now: float,
) -> list[Command]:
    attempt = state.attempts.get(message.attempt_id)
    if attempt is None:
        return _reply_from_tombstone(message, entry_id, state)
    attempt.entry_id = entry_id
    return attempt.lifecycle.handle(message, state, attempt, now)


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
        permit_id=attempt.attempt_id,
        lifetime=PERMIT_LIFETIME,
    )
    timer = SetTimer(
        timer_id=attempt.attempt_id,
        delay=PERMIT_LIFETIME,
        message=PermitExpired(attempt_id=attempt.attempt_id),
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
    _record_ending(action.state, action.subject, Ending.NOT_RUN)
    return [CancelTimer(timer_id=action.subject.attempt_id)]


@perform.register
def _(action: SendNotRun) -> list[Command]:
    not_run = AttemptNotRun(
        attempt_id=action.subject.attempt_id, reason=_not_run_reason(action.message)
    )
    return [SendToEntryLink(entry_id=action.subject.entry_id, message=not_run)]


@perform.register
def _(action: RecordResult) -> list[Command]:
    message = action.message
    _record_ending(action.state, action.subject, _ending(message))
    return [SendToEntryLink(entry_id=action.subject.entry_id, message=message)]


@perform.register
def _(action: SendRunning) -> list[Command]:
    running = AttemptRunning(attempt_id=action.subject.attempt_id)
    return [SendToEntryLink(entry_id=action.subject.entry_id, message=running)]


@singledispatch
def _ending(message: Message) -> Ending:
    return Ending.UNKNOWN


@_ending.register
def _(message: AttemptCompleted) -> Ending:
    return Ending.COMPLETED


@_ending.register
def _(message: AttemptNotRun) -> Ending:
    return Ending.NOT_RUN


@singledispatch
def _not_run_reason(message: Message) -> Reason:
    return Reason.PERMIT_EXPIRED


@_not_run_reason.register
def _(message: CancelAttempt) -> Reason:
    return Reason.CANCELLED


def _record_ending(state: PermitState, attempt: Attempt, ending: Ending) -> None:
    state.attempts.pop(attempt.attempt_id, None)
    _remember(state, attempt.attempt_id, ending)


def _remember(state: PermitState, attempt_id: str, ending: Ending) -> None:
    state.tombstones[attempt_id] = ending
    while len(state.tombstones) > TOMBSTONE_LIMIT:
        state.tombstones.popitem(last=False)


def _reply_from_tombstone(
    message: StartAttempt | CancelAttempt | ResolveAttempt,
    entry_id: str,
    state: PermitState,
) -> list[Command]:
    attempt_id = message.attempt_id
    ending = state.tombstones.get(attempt_id)
    if ending in (Ending.COMPLETED, Ending.UNKNOWN):
        reply: Message = AttemptUnknown(
            attempt_id=attempt_id, reason=Reason.RESPONSE_LOST
        )
    else:
        # Without a permit the attempt can't start. The tombstone keeps a permit
        # request that is still under way from being granted.
        _remember(state, attempt_id, Ending.NOT_RUN)
        reply = AttemptNotRun(attempt_id=attempt_id, reason=Reason.PERMIT_UNKNOWN)
    return [SendToEntryLink(entry_id=entry_id, message=reply)]
