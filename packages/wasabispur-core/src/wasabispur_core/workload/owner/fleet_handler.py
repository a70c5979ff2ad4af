"""Dispatch the messages to the scheduler by their types."""

from __future__ import annotations

from functools import singledispatch

from ...command import Command
from ...error import UnhandledMessageError
from ...message import Message
from .fleet_state import FleetState


@singledispatch
def handle_message(message: Message, state: FleetState, now: float) -> list[Command]:
    """Apply one message to the state, and return the resulting commands."""
    raise UnhandledMessageError(
        f"the scheduler does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )
