"""Define the commands that decision components return to their actors."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .message import Message
from .store import Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class Command(Message):
    """Ask the owning actor for one effect."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendToAgent(Command):
    """Send a message on the agent's stream; it is dropped if there is none."""

    agent_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class SendToEntry(Command):
    """Send a message to a peer entry; an empty id stands for all peers."""

    entry_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer(Command):
    """Deliver the message to the component after delay seconds."""

    timer_id: str
    delay: float
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelTimer(Command):
    """Drop a timer that was set before."""

    timer_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Transact(Command):
    """Apply a transaction and deliver its StoreResult to the state."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRows(Command):
    """Read all rows under a prefix and deliver a RowsRead or StoreUnavailable."""

    read_id: str
    prefix: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteLog(Command):
    """Write a numbered log event with its fields."""

    number: int
    fields: dict[str, Any]
