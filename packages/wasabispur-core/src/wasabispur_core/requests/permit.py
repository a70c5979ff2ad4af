"""Decide at an agent which attempts may start, and record how they ended.

The agent runs beside a service endpoint. It grants an entry instance a permit,
which reserves a slot until the attempt is started or the permit expires.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from ..chart import Chart, Lifecycle
from ..command import Command
from ..error import UnhandledMessageError
from ..message import Message
from ..protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    CancelAttempt,
    PermitId,
    RequestPermit,
    ResolveAttempt,
    StartAttempt,
)
from .tombstone import TombstoneStore

PERMIT_LIFETIME = 2.0
"""Seconds after the grant of a permit within which the start has to arrive."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FromEntry(Message):
    """Wrap a message with the id of the entry that sent it."""

    entry_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitExpired(Message):
    """Report that the lifetime of a permit has elapsed."""

    attempt_id: str
    permit_id: PermitId


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
    """Represent one attempt at the agent; permit_expiry is in monotonic seconds."""

    attempt_id: str
    entry_id: str
    permit_id: PermitId
    lifecycle: Lifecycle
    permit_expiry: float


@dataclass(slots=True)
class PermitState:
    """Represent the slots, the attempts in progress and the tombstones of an agent.

    The incarnation differs between any two starts of the agent's process.
    """

    slots: int
    chart: Chart
    incarnation: int
    leaving: bool = False
    permits_granted: int = 0
    attempts: dict[str, Attempt] = field(default_factory=dict)
    tombstones: TombstoneStore = field(init=False)

    def __post_init__(self) -> None:
        self.tombstones = TombstoneStore(self.incarnation)

    @property
    def free_slots(self) -> int:
        """Return the number of slots without a permit or a running attempt."""
        return self.slots - len(self.attempts)

    def next_permit_id(self) -> PermitId:
        """Return a permit id that was never used before."""
        self.permits_granted += 1
        return PermitId(incarnation=self.incarnation, number=self.permits_granted)


@singledispatch
def decide(message: Message, state: PermitState, now: float) -> list[Command]:
    """Return the commands that a message to the permit component causes."""
    raise UnhandledMessageError(
        f"the permit component does not handle {type(message).__name__}",
        "send the message to the component that handles it",
    )


@decide.register
def _(message: FromEntry, state: PermitState, now: float) -> list[Command]:
    return decide_for_entry(message.message, message.entry_id, state, now)


@decide.register
def _(message: PermitExpired, state: PermitState, now: float) -> list[Command]:
    attempt = _attempt_for_permit(state, message.attempt_id, message.permit_id)
    if attempt is None:
        return []
    return attempt.lifecycle.handle(message, state, attempt, now)


@decide.register(AttemptCompleted)
@decide.register(AttemptNotRun)
@decide.register(AttemptUnknown)
def _(
    message: AttemptCompleted | AttemptNotRun | AttemptUnknown,
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
        f"the permit component does not handle {type(message).__name__} from an entry",
        "send the message to the component that handles it",
    )


@decide_for_entry.register
def _(
    message: RequestPermit, entry_id: str, state: PermitState, now: float
) -> list[Command]:
    if message.attempt_id in state.attempts or message.attempt_id in state.tombstones:
        return []
    attempt = Attempt(
        attempt_id=message.attempt_id,
        entry_id=entry_id,
        permit_id=state.next_permit_id(),
        lifecycle=state.chart.start(),
        permit_expiry=now + PERMIT_LIFETIME,
    )
    return attempt.lifecycle.handle(message, state, attempt, now)


@decide_for_entry.register
def _(
    message: CancelAttempt, entry_id: str, state: PermitState, now: float
) -> list[Command]:
    attempt = state.attempts.get(message.attempt_id)
    if attempt is None:
        return []
    return attempt.lifecycle.handle(message, state, attempt, now)


@decide_for_entry.register(StartAttempt)
@decide_for_entry.register(ResolveAttempt)
def _(
    message: StartAttempt | ResolveAttempt,
    entry_id: str,
    state: PermitState,
    now: float,
) -> list[Command]:
    attempt = _attempt_for_permit(state, message.attempt_id, message.permit_id)
    if attempt is None:
        proof = state.tombstones.resolve(message.attempt_id, message.permit_id)
        return [SendToEntryLink(entry_id=entry_id, message=proof)]
    attempt.entry_id = entry_id
    return attempt.lifecycle.handle(message, state, attempt, now)


def _attempt_for_permit(
    state: PermitState, attempt_id: str, permit_id: PermitId
) -> Attempt | None:
    attempt = state.attempts.get(attempt_id)
    if attempt is None or attempt.permit_id != permit_id:
        return None
    return attempt
