"""Decide how the object client sends calls to the object store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch
from hashlib import sha256
from random import Random

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import Command
from ..message import Message
from .store_access import (
    BackOff,
    CALL_DEADLINE,
    Expired,
    finish_call,
    new_store_access,
    RecordFailureReason,
    SetExpiry,
    start_call,
    StoreAccess,
)
from .store_call import Call, CallAnswer, CallMessage, SendCall
from .store_decision import decide_call

OBJECT_LIMIT_BYTES = 16 * 1024 * 1024
"""Maximum size of an object."""

CALLS_PER_SECOND = 50.0
"""Rate limit of one process, as its share of the object store's rate."""

OBJECT_CALL = "object_call"

DIGEST_PREFIX = "sha256-"


def digest_key(prefix: str, data: bytes) -> str:
    """Return a key with the object's digest, so that a reader can verify the object."""
    return f"{prefix}/{DIGEST_PREFIX}{sha256(data).hexdigest()}"


def digest_matches(key: str, data: bytes) -> bool:
    """Return whether an object matches the digest in its key, if the key has one."""
    name = key.rpartition("/")[2]
    if not name.startswith(DIGEST_PREFIX):
        return True
    return name.removeprefix(DIGEST_PREFIX) == sha256(data).hexdigest()


class ObjectMethod(Enum):
    """Define the operations on an object."""

    PUT = "PUT"
    GET = "GET"
    DELETE = "DELETE"


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectRequested(CallMessage):
    """Request a call; data is the object that PUT stores."""

    method: ObjectMethod
    key: str
    data: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectAnswered(CallAnswer):
    """Report that the store answered; data is None for an absent object."""

    data: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectDone(Message):
    """Deliver the result of a call; data is None for an absent object."""

    key: str
    data: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectUnavailable(Message):
    """Report that the object store can't serve a call."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendObjectCall(SendCall):
    """Send a call to the object store."""

    method: ObjectMethod
    key: str
    data: bytes


@dataclass(slots=True, kw_only=True)
class ObjectCall(Call):
    """Represent one call to the object store."""

    request: ObjectRequested


class ObjectAction(Action[StoreAccess, ObjectCall]):
    """Define an action of the object_call state chart; its subject is the call."""

    __slots__ = ()


class QueueObjectCall(ObjectAction):
    """Queue the call for sending."""

    __slots__ = ()


class DeliverObject(ObjectAction):
    """Deliver the store's answer."""

    __slots__ = ()


class DeliverObjectUnavailable(ObjectAction):
    """Report that the store can't serve the call."""

    __slots__ = ()


class ObjectAdmissible(Guard[StoreAccess, ObjectCall]):
    """Check that the store accepts calls and the object is not too large."""

    __slots__ = ()


def object_call_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the object_call chart bound to its actions and guards."""
    return catalogue.bind(
        OBJECT_CALL,
        actions=[
            *ObjectAction.__subclasses__(),
            SetExpiry,
            BackOff,
            RecordFailureReason,
        ],
        guards=[ObjectAdmissible, Expired],
    )


def new_object_access(
    catalogue: ChartCatalogue,
    random: Random,
    calls_per_second: float = CALLS_PER_SECOND,
) -> StoreAccess:
    """Return the state of the calls to the object store."""
    charts = {OBJECT_CALL: object_call_chart(catalogue)}
    return new_store_access(
        catalogue, charts, random, calls_per_second, calls_per_second
    )


def object_refusal(state: StoreAccess, request: ObjectRequested) -> str:
    """Return why a call is refused, or an empty string."""
    if len(request.data) > OBJECT_LIMIT_BYTES:
        return f"object {request.key} exceeds {OBJECT_LIMIT_BYTES} bytes"
    return state.refusal_reason


@holds.register
def _(guard: ObjectAdmissible) -> bool:
    return not object_refusal(guard.state, guard.subject.request)


@perform.register
def _(action: QueueObjectCall) -> list[Command]:
    request = action.subject.request
    send = SendObjectCall(
        call_id=request.call_id,
        method=request.method,
        key=request.key,
        data=request.data,
    )
    reading = request.method is ObjectMethod.GET
    call_queue = action.state.reads if reading else action.state.writes
    call_queue.waiting.append(send)
    return []


@perform.register
def _(action: DeliverObject) -> list[Command]:
    message = action.message
    data = message.data if isinstance(message, ObjectAnswered) else None
    result = ObjectDone(key=action.subject.request.key, data=data)
    return finish_call(action.state, action.subject, result)


@perform.register
def _(action: DeliverObjectUnavailable) -> list[Command]:
    call = action.subject
    reason = call.reason or object_refusal(action.state, call.request)
    result = ObjectUnavailable(
        key=call.request.key, reason=reason or "the time for the call is over"
    )
    return finish_call(action.state, call, result)


@singledispatch
def decide(message: Message, state: StoreAccess, now: float) -> list[Command]:
    """Return the commands for a message about the object store."""
    return decide_call(message, state, now)


@decide.register
def _(message: ObjectRequested, state: StoreAccess, now: float) -> list[Command]:
    call = ObjectCall(
        call_id=message.call_id,
        lifecycle=state.call_charts[OBJECT_CALL].start(),
        deadline=now + CALL_DEADLINE,
        request=message,
    )
    return start_call(message, call, state, now)
