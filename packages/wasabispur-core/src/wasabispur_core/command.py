"""Define the commands that decision components return to their actors.

A component decides without input or output; the actor that owns it executes the
commands.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .message import Message
from .storage.store import Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class Command(Message):
    """Describe one effect that the actor has to execute."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendToAgent(Command):
    """Send a message on the agent's stream; drop it if the agent has no stream."""

    agent_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class SendToEntry(Command):
    """Send a message to a peer entry, or to all peers if entry_id is empty."""

    entry_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer(Command):
    """Deliver the message to the component after delay seconds.

    A pending timer with the same id is replaced.
    """

    timer_id: str
    delay: float
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelTimer(Command):
    """Cancel the timer with the id if it is pending."""

    timer_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Transact(Command):
    """Apply a transaction and deliver its StoreResult to the component."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRows(Command):
    """Read all rows under a prefix and deliver RowsRead or RowsUnavailable."""

    read_id: str
    prefix: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteLog(Command):
    """Write the log event with a number of the catalogue and its fields."""

    number: int
    fields: dict[str, Any]
