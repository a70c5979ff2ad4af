"""Define rows, transactions and their results at the table service."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from .message import Message

ABSENT = 0
"""Version of a row that does not exist."""

SUPERSEDED = -1
"""Version of a row that another write has replaced since; it matches no row."""

ROW_LIMIT_BYTES = 64 * 1024
"""Largest value of a row, encoded as JSON."""

KEY_LIMIT = 512
"""Longest key of a row in characters."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Hold one row as read; operation_id names the write that produced it."""

    key: str
    version: int
    operation_id: str
    value: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Require a row to have a version; ABSENT requires that it doesn't exist."""

    key: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Put a value under a key, or delete the row if the value is None."""

    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Apply all writes if all conditions hold, else none."""

    operation_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


def row_size(value: dict[str, Any] | None) -> int:
    """Return the bytes of a row's value, encoded as JSON."""
    return len(json.dumps(value).encode())


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreResult(Message):
    """Report how a transaction ended."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed(StoreResult):
    """Report that the transaction took effect; versions are the new ones.

    After a lost response, a row that was replaced meanwhile has SUPERSEDED.
    """

    versions: dict[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflicted(StoreResult):
    """Report that the transaction did not take effect, and why."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreUnavailable(StoreResult):
    """Report a failed call; where uncertain, the write may have taken effect."""

    reason: str
    uncertain: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsRead(Message):
    """Deliver all rows under a prefix."""

    read_id: str
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsUnavailable(Message):
    """Report that a read failed."""

    read_id: str
    reason: str
