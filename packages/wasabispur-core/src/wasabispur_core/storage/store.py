"""Define rows, transactions and their results at the table service."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from ..message import Message

ABSENT = 0
"""Version of a row that does not exist."""

SUPERSEDED = -1
"""Version of a row that another write has replaced since; matches no row."""

ROW_LIMIT_BYTES = 64 * 1024 - 256
"""Maximum value of a row, encoded as JSON.

The table service takes 64 KiB, which include the id of the operation.
"""

KEY_LIMIT = 512
"""Maximum length of a row's key in characters."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Describe a row as read; operation_id identifies the write that produced it."""

    key: str
    version: int
    operation_id: str
    value: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Require a row to have a version; ABSENT requires that the row doesn't exist."""

    key: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Put a value under a key, or delete the row if the value is None.

    size is that of the value in bytes, or None if it has yet to be computed.
    """

    key: str
    value: dict[str, Any] | None
    size: int | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Apply all writes atomically if all conditions hold, otherwise none."""

    operation_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


def encode_json(value: Any) -> bytes:
    """Return a value as JSON in the form in which rows are stored."""
    text = json.dumps(value, ensure_ascii=False, separators=(",", ":"))
    return text.encode(errors="surrogatepass")


def row_size(value: dict[str, Any] | None) -> int:
    """Return the size in bytes of a row's value, encoded as JSON."""
    return len(encode_json(value)) if value is not None else 0


def text_size(text: str) -> int:
    """Return the size in bytes that a text takes in a row."""
    return len(encode_json(text))


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreResult(Message):
    """Report how a transaction ended."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed(StoreResult):
    """Report that the transaction took effect, with the new version of each row.

    If the response was lost and another write has replaced a row since, the
    version of that row is SUPERSEDED.
    """

    versions: dict[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflicted(StoreResult):
    """Report that the transaction had no effect because of conditions on the keys."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreUnavailable(StoreResult):
    """Report a failed call; if uncertain, the write may have taken effect.

    permanent is set if the same transaction can never succeed.
    """

    reason: str
    uncertain: bool
    permanent: bool = False


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
