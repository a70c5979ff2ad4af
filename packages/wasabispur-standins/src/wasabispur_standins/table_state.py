"""Define the rows of the table service stand-in and apply transactions to them."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from typing import Any

from wasabispur_core.message import Message
from wasabispur_core.storage.store import ABSENT, Row, Transaction
from wasabispur_core.storage.token_bucket import TokenBucket

from .stand_in import handle

WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0
"""Rate limits for transactions and reads; the burst is one second's calls."""


class RateExceeded:
    """Represent the reply to a call above the rate limit."""


@dataclass(frozen=True, slots=True)
class Applied:
    """Represent the reply to an applied transaction, with the new versions by key."""

    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Represent the reply to a transaction with unmet conditions, with their keys."""

    conflicts: list[str]


@dataclass(frozen=True, slots=True)
class Page:
    """Represent one page of rows.

    Next is the key after which the next page starts, or None on the last page.
    """

    rows: list[Row]
    next: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply(Message):
    """Request to apply a validated transaction."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadPage(Message):
    """Request at most limit rows under a prefix, after a key, in the order of keys."""

    prefix: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRow(Message):
    """Request one row; the reply is None if it doesn't exist."""

    key: str


@dataclass(slots=True)
class TableState:
    """Represent the rows and the rate limits.

    One sequence numbers the versions of all keys, so that a row that is deleted and
    written again never gets an old version.
    """

    rows: dict[str, Row] = field(default_factory=dict)
    sequence: int = 0
    writes: TokenBucket = field(
        default_factory=lambda: TokenBucket(WRITES_PER_SECOND, WRITES_PER_SECOND)
    )
    reads: TokenBucket = field(
        default_factory=lambda: TokenBucket(READS_PER_SECOND, READS_PER_SECOND)
    )

    def version(self, key: str) -> int:
        """Return the version of a row, or ABSENT."""
        row = self.rows.get(key)
        return ABSENT if row is None else row.version

    def put(self, key: str, value: dict[str, Any] | None, operation_id: str) -> int:
        """Write or delete one row and return its new version."""
        if value is None:
            self.rows.pop(key, None)
            return ABSENT
        self.rows[key] = Row(
            key=key, version=self.sequence, operation_id=operation_id, value=value
        )
        return self.sequence


@handle.register
def _(
    message: Apply, state: TableState, now: float
) -> Applied | Conflicted | RateExceeded:
    if not state.writes.take(now):
        return RateExceeded()
    transaction = message.transaction
    conflicts = [
        condition.key
        for condition in transaction.conditions
        if state.version(condition.key) != condition.version
    ]
    if conflicts:
        return Conflicted(conflicts)
    state.sequence += 1
    return Applied(
        {
            write.key: state.put(write.key, write.value, transaction.operation_id)
            for write in transaction.writes
        }
    )


@handle.register
def _(message: ReadPage, state: TableState, now: float) -> Page | RateExceeded:
    if not state.reads.take(now):
        return RateExceeded()
    keys = sorted(key for key in state.rows if key.startswith(message.prefix))
    start = bisect_right(keys, message.after) if message.after else 0
    chosen = keys[start : start + message.limit]
    more = start + message.limit < len(keys)
    return Page([state.rows[key] for key in chosen], chosen[-1] if more else None)


@handle.register
def _(message: ReadRow, state: TableState, now: float) -> Row | RateExceeded | None:
    if not state.reads.take(now):
        return RateExceeded()
    return state.rows.get(message.key)
