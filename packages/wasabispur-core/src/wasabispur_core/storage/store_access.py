"""Limit the rate and the number of calls to a store of the platform.

A store is the table service or the object store. Each process that uses a store has
one StoreAccess for it, owned by the client's actor.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import singledispatch
from random import Random

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import CancelTimer, Command, SetTimer
from ..message import Message
from .circuit import (
    CallFailed,
    CallSucceeded,
    Circuit,
    circuit_chart,
    CLOSED,
    HALF_OPEN,
    OPEN,
    ServiceReachable,
    ServiceUnreachable,
    TrialDue,
    TrialTiming,
)
from .store_call import (
    Call,
    CallAnswer,
    CallExpired,
    CallLost,
    CallRefused,
    CallRejected,
    CallSent,
    CallThrottled,
    CircuitOpened,
    DeliverResult,
    RetryDue,
    SendCall,
    SendLookup,
    SendPageRead,
    SendTransaction,
)
from .token_bucket import TokenBucket

CALL_DEADLINE = 5.0
"""Seconds after which a call expires, including its retries."""

RETRY_BASE_DELAY = 0.05
RETRY_DELAY_LIMIT = 1.0
"""Bounds in seconds of the jittered delay before a retry."""

PENDING_CALL_LIMIT = 2000
"""Maximum number of calls that wait or are in progress."""

TRIAL_CALL_ID = -1
"""Id of the lookup that tests whether the service is back; it has no receiver."""

DEFAULT_TRIAL_TIMING = TrialTiming()

TRIAL_TIMEOUTS = (0.4, 0.4, 0.4, 1.4)
"""Timeouts in seconds of the trial lookups, in turn.

A store that is back answers within milliseconds, so that most trials end early and the
next one is soon. The long one reaches a store that is only slow.
"""

IN_FLIGHT_LIMIT = 16
"""Maximum number of concurrent calls; each occupies a thread."""

THREAD_LIMIT = IN_FLIGHT_LIMIT + 1
"""Threads of a client: a trial must not wait for calls that hang."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAllowed(Message):
    """Report that the rate limit allows the next call."""


@dataclass(slots=True)
class CallQueue:
    """Queue the waiting calls of one kind and limit their rate."""

    name: str
    bucket: TokenBucket
    waiting: deque[SendCall] = field(default_factory=deque)


@dataclass(slots=True)
class StoreAccess:
    """Represent the calls to one store.

    If allow_trial_writes is unset, a half-open circuit sends only a lookup of its own:
    the caller of a trial write whose answer is lost can't know whether the write took
    effect. known_keys are the keys of the rows that the last call concerned.
    """

    call_charts: dict[str, Chart]
    circuit: Circuit
    random: Random
    writes: CallQueue
    reads: CallQueue
    calls: dict[int, Call] = field(default_factory=dict)
    in_flight: int = 0
    call_deadline: float = CALL_DEADLINE
    allow_trial_writes: bool = True
    known_keys: tuple[str, ...] = ()
    trial_in_flight: bool = False

    @property
    def may_send(self) -> bool:
        """Return whether the circuit and the concurrency limit allow another call."""
        if self.circuit.state == HALF_OPEN:
            return self.allow_trial_writes and self.in_flight == 0
        return self.circuit.state == CLOSED and self.in_flight < IN_FLIGHT_LIMIT

    @property
    def refusal_reason(self) -> str:
        """Return why new calls are refused, or an empty string."""
        if self.circuit.state == OPEN:
            return "the service does not answer; it is tried again soon"
        if len(self.calls) > PENDING_CALL_LIMIT:
            return f"{PENDING_CALL_LIMIT} calls are waiting"
        return ""


def new_store_access(
    catalogue: ChartCatalogue,
    call_charts: dict[str, Chart],
    random: Random,
    writes_per_second: float,
    reads_per_second: float,
    timing: TrialTiming = DEFAULT_TRIAL_TIMING,
) -> StoreAccess:
    """Return the state for one store, with this process's share of its rate."""
    return StoreAccess(
        call_charts,
        Circuit(circuit_chart(catalogue).start(), random, timing=timing),
        random,
        CallQueue("writes", TokenBucket(writes_per_second, writes_per_second)),
        CallQueue("reads", TokenBucket(reads_per_second, reads_per_second)),
    )


class CallAction(Action[StoreAccess, Call]):
    """Define an action that the charts of several kinds of calls share."""

    __slots__ = ()


class CallGuard(Guard[StoreAccess, Call]):
    """Define a guard that the charts of several kinds of calls share."""

    __slots__ = ()


class SetExpiry(CallAction):
    """Start the timer for the deadline of the call."""

    __slots__ = ()


class BackOff(CallAction):
    """Schedule a retry after a jittered delay that grows with each failure."""

    __slots__ = ()


class RecordFailureReason(CallAction):
    """Record why the service did not serve the call."""

    __slots__ = ()


class Expired(CallGuard):
    """Check whether the deadline of the call has passed."""

    __slots__ = ()


@holds.register
def _(guard: Expired) -> bool:
    return guard.now >= guard.subject.deadline


@perform.register
def _(action: SetExpiry) -> list[Command]:
    call = action.subject
    expired = CallExpired(call_id=call.call_id)
    return [
        SetTimer(
            timer_id=_expiry_timer(call),
            delay=call.deadline - action.now,
            message=expired,
        )
    ]


@perform.register
def _(action: BackOff) -> list[Command]:
    call = action.subject
    call.retries += 1
    limit = min(RETRY_DELAY_LIMIT, RETRY_BASE_DELAY * 2**call.retries)
    return [
        SetTimer(
            timer_id=_retry_timer(call),
            delay=action.state.random.uniform(RETRY_BASE_DELAY, limit),
            message=RetryDue(call_id=call.call_id),
        )
    ]


@perform.register
def _(action: RecordFailureReason) -> list[Command]:
    action.subject.reason = failure_reason(action.message)
    return []


@singledispatch
def failure_reason(message: Message) -> str:
    """Return why a sent call failed."""
    return ""


@failure_reason.register(CallRejected)
@failure_reason.register(CallThrottled)
@failure_reason.register(CallRefused)
@failure_reason.register(CallLost)
def _(message: CallRejected | CallThrottled | CallRefused | CallLost) -> str:
    return message.reason


def finish_call(state: StoreAccess, call: Call, result: Message) -> list[Command]:
    """Remove a call with its timers and deliver its result."""
    state.calls.pop(call.call_id, None)
    return [
        CancelTimer(timer_id=_expiry_timer(call)),
        CancelTimer(timer_id=_retry_timer(call)),
        DeliverResult(call_id=call.call_id, result=result),
    ]


def start_call(
    message: Message, call: Call, state: StoreAccess, now: float
) -> list[Command]:
    """Register a new call and send the calls that are allowed."""
    state.calls[call.call_id] = call
    return call.lifecycle.handle(message, state, call, now) + send_waiting_calls(
        state, now
    )


def handle_answer(message: CallAnswer, state: StoreAccess, now: float) -> list[Command]:
    """Handle the answer to a sent call or to a trial lookup."""
    commands: list[Command] = []
    is_trial = message.call_id == TRIAL_CALL_ID
    if is_trial:
        state.trial_in_flight = False
    else:
        state.in_flight -= 1
    call = state.calls.get(message.call_id)
    if call is not None:
        commands += call.lifecycle.handle(message, state, call, now)
    stale = not is_trial and not state.allow_trial_writes
    commands += _update_circuit(_circuit_event(message, stale), state, now)
    return commands + send_waiting_calls(state, now)


def handle_call_timer(
    message: CallExpired | RetryDue, state: StoreAccess, now: float
) -> list[Command]:
    """Handle the expiry or retry timer of a call."""
    call = state.calls.get(message.call_id)
    if call is None:
        return []
    return call.lifecycle.handle(message, state, call, now) + send_waiting_calls(
        state, now
    )


def handle_trial_due(
    message: TrialDue, state: StoreAccess, now: float
) -> list[Command]:
    """Half-open the circuit if it is open, and send a trial call."""
    return state.circuit.handle(message, now) + send_waiting_calls(state, now)


def handle_service_status(
    message: ServiceReachable | ServiceUnreachable, state: StoreAccess, now: float
) -> list[Command]:
    """Handle whether another connection of this process reaches the service."""
    return _update_circuit(message, state, now) + send_waiting_calls(state, now)


def send_waiting_calls(state: StoreAccess, now: float) -> list[Command]:
    """Send the calls that the circuit, rate and concurrency limits allow."""
    commands: list[Command] = []
    for call_queue in (state.writes, state.reads):
        commands += _send_from_queue(call_queue, state, now)
    return commands + _send_trial_lookup(state)


def _send_trial_lookup(state: StoreAccess) -> list[Command]:
    """Look up a row to test whether the service is back, also if no call waits.

    Calls that were sent before may hang for longer than the outage lasts, so that the
    trial does not wait for them.
    """
    half_open = state.circuit.state == HALF_OPEN
    if not half_open or state.allow_trial_writes or state.trial_in_flight:
        return []
    waiting = [*state.writes.waiting, *state.reads.waiting]
    keys = keys_of(waiting[0]) if waiting else state.known_keys
    if not keys:
        return []
    state.trial_in_flight = True
    timeout = TRIAL_TIMEOUTS[state.circuit.openings % len(TRIAL_TIMEOUTS)]
    return [SendLookup(call_id=TRIAL_CALL_ID, keys=keys[:1], timeout=timeout)]


@singledispatch
def keys_of(command: SendCall) -> tuple[str, ...]:
    """Return the keys of rows that a call concerns, if it reads or writes rows."""
    return ()


@keys_of.register
def _(command: SendTransaction) -> tuple[str, ...]:
    return tuple(write.key for write in command.transaction.writes)


@keys_of.register
def _(command: SendPageRead) -> tuple[str, ...]:
    return (command.prefix,)


@keys_of.register
def _(command: SendLookup) -> tuple[str, ...]:
    return command.keys


def _send_from_queue(
    call_queue: CallQueue, state: StoreAccess, now: float
) -> list[Command]:
    commands: list[Command] = []
    while call_queue.waiting and state.may_send:
        send = call_queue.waiting[0]
        call = state.calls.get(send.call_id)
        if call is None:
            call_queue.waiting.popleft()
            continue
        if not call_queue.bucket.take(now):
            delay = call_queue.bucket.delay(now)
            due = SetTimer(timer_id=call_queue.name, delay=delay, message=SendAllowed())
            return [*commands, due]
        call_queue.waiting.popleft()
        state.in_flight += 1
        state.known_keys = keys_of(send) or state.known_keys
        sent = CallSent(call_id=send.call_id)
        commands += [*call.lifecycle.handle(sent, state, call, now), send]
    return commands


def _update_circuit(message: Message, state: StoreAccess, now: float) -> list[Command]:
    before = state.circuit.state
    commands = state.circuit.handle(message, now)
    after = state.circuit.state
    if after == OPEN and before != OPEN:
        for call in list(state.calls.values()):
            opened = CircuitOpened(call_id=call.call_id)
            commands += call.lifecycle.handle(opened, state, call, now)
    if after == CLOSED and before != CLOSED:
        # Empty buckets make the calls that waited for the end of the outage leave
        # at the rate limit instead of in one burst.
        state.writes.bucket.tokens = state.reads.bucket.tokens = 0.0
        state.writes.bucket.updated = state.reads.bucket.updated = now
    return commands


@singledispatch
def _circuit_event(message: CallAnswer, stale: bool) -> Message:
    return CallSucceeded()


@_circuit_event.register(CallRefused)
@_circuit_event.register(CallLost)
def _(message: CallAnswer, stale: bool) -> Message:
    return CallFailed(stale=stale)


def _expiry_timer(call: Call) -> str:
    return f"expiry:{call.call_id}"


def _retry_timer(call: Call) -> str:
    return f"retry:{call.call_id}"
