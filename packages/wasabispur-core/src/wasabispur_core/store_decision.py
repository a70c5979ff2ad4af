"""Decide what the calls to every platform service have in common."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from .circuit import CircuitDue, ServiceMissed, ServiceReached
from .command import Command
from .error import UnhandledMessageError
from .message import Message
from .store_access import (
    LaneDue,
    note_service,
    pump,
    retry_circuit,
    settle,
    StoreAccess,
    wake,
)
from .store_call import CallAnswer, CallExpired, RetryDue


@singledispatch
def decide_call(message: Message, state: StoreAccess, now: float) -> list[Command]:
    """Return the commands that a message about a call in progress causes."""
    raise UnhandledMessageError(
        f"the store access does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide_call.register
def _(message: CallAnswer, state: StoreAccess, now: float) -> list[Command]:
    return settle(message, state, now)


@decide_call.register(CallExpired)
@decide_call.register(RetryDue)
def _(message: Any, state: StoreAccess, now: float) -> list[Command]:
    return wake(message, state, now)


@decide_call.register
def _(message: CircuitDue, state: StoreAccess, now: float) -> list[Command]:
    return retry_circuit(message, state, now)


@decide_call.register(ServiceReached)
@decide_call.register(ServiceMissed)
def _(
    message: ServiceReached | ServiceMissed, state: StoreAccess, now: float
) -> list[Command]:
    return note_service(message, state, now)


@decide_call.register
def _(message: LaneDue, state: StoreAccess, now: float) -> list[Command]:
    return pump(state, now)
