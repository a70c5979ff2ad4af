"""Define the commands that read and watch tables, and the messages with their rows.

The scheduler of an entry instance reads its tables when it has acquired the shard, and
watches some of them as long as it owns the shard.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..command import Command
from ..message import Message
from ..storage.store import Row


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTables(Command):
    """Deliver all rows of the tables, and each later change of the watched tables."""

    watched: tuple[str, ...] = ()
    read: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class StopWatching(Command):
    """Stop the delivery of rows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RowChanged(Message):
    """Deliver a row that was created or replaced."""

    row: Row


@dataclass(frozen=True, slots=True, kw_only=True)
class RowRemoved(Message):
    """Deliver the key of a row that was deleted."""

    key: str
    version: int = 0
