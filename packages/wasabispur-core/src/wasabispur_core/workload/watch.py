"""Define how a component asks for tables of rows, and how they arrive."""

from __future__ import annotations

from dataclasses import dataclass

from ..command import Command
from ..message import Message
from ..store import Row


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTables(Command):
    """Deliver all rows of tables, and of the watched ones each later change."""

    watched: tuple[str, ...] = ()
    read: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class StopWatching(Command):
    """Deliver no more rows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RowChanged(Message):
    """Deliver a row that was written."""

    row: Row


@dataclass(frozen=True, slots=True, kw_only=True)
class RowRemoved(Message):
    """Deliver the key of a row that was removed."""

    key: str
    version: int = 0
