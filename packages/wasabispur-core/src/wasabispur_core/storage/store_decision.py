"""Decide the steps that calls to all platform services have in common."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from ..command import Command
from ..error import UnhandledMessageError
from ..message import Message
from .circuit import ServiceReachable, ServiceUnreachable, TrialDue
from .store_access import (
    handle_answer,
    handle_call_timer,
    handle_service_status,
    handle_trial_due,
    send_waiting_calls,
    SendAllowed,
    StoreAccess,
)
from .store_call import CallAnswer, CallExpired, RetryDue


@singledispatch
def decide_call(message: Message, state: StoreAccess, now: float) -> list[Command]:
    """Return the commands for a message about a call in progress."""
    raise UnhandledMessageError(
        f"the store access has no handler for {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide_call.register
def _(message: CallAnswer, state: StoreAccess, now: float) -> list[Command]:
    return handle_answer(message, state, now)


@decide_call.register(CallExpired)
@decide_call.register(RetryDue)
def _(message: Any, state: StoreAccess, now: float) -> list[Command]:
    return handle_call_timer(message, state, now)


@decide_call.register
def _(message: TrialDue, state: StoreAccess, now: float) -> list[Command]:
    return handle_trial_due(message, state, now)


@decide_call.register(ServiceReachable)
@decide_call.register(ServiceUnreachable)
def _(
    message: ServiceReachable | ServiceUnreachable, state: StoreAccess, now: float
) -> list[Command]:
    return handle_service_status(message, state, now)


@decide_call.register
def _(message: SendAllowed, state: StoreAccess, now: float) -> list[Command]:
    return send_waiting_calls(state, now)
