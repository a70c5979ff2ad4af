"""Hold the rows of the table service stand-in."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from typing import Any

from wasabispur_core.message import Message
from wasabispur_core.store import ABSENT, Row, Transaction
from wasabispur_core.token_bucket import TokenBucket

from .stand_in import answer

WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0


class RateExceeded:
    """Answer to a call over the rate."""


@dataclass(frozen=True, slots=True)
class Applied:
    """Answer to a transaction that took effect."""

    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class Refused:
    """Answer to a transaction whose conditions don't hold."""

    conflicts: list[str]


@dataclass(frozen=True, slots=True)
class Page:
    """Answer to a read; next is the key to go on after, if there is more."""

    rows: list[Row]
    next: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply(Message):
    """Apply a transaction whose values have been checked."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadPage(Message):
    """Read the rows under a prefix after a key, in the order of the keys."""

    prefix: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRow(Message):
    """Read one row."""

    key: str


@dataclass(slots=True)
class TableState:
    """Own the rows; versions grow over all keys, so that none comes twice."""

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


@answer.register
def _(
    message: Apply, state: TableState, now: float
) -> Applied | Refused | RateExceeded:
    if not state.writes.take(now):
        return RateExceeded()
    transaction = message.transaction
    conflicts = [
        condition.key
        for condition in transaction.conditions
        if state.version(condition.key) != condition.version
    ]
    if conflicts:
        return Refused(conflicts)
    state.sequence += 1
    return Applied(
        {
            write.key: state.put(write.key, write.value, transaction.operation_id)
            for write in transaction.writes
        }
    )


@answer.register
def _(message: ReadPage, state: TableState, now: float) -> Page | RateExceeded:
    if not state.reads.take(now):
        return RateExceeded()
    keys = sorted(key for key in state.rows if key.startswith(message.prefix))
    start = bisect_right(keys, message.after) if message.after else 0
    chosen = keys[start : start + message.limit]
    more = start + message.limit < len(keys)
    return Page([state.rows[key] for key in chosen], chosen[-1] if more else None)


@answer.register
def _(message: ReadRow, state: TableState, now: float) -> Row | RateExceeded | None:
    if not state.reads.take(now):
        return RateExceeded()
    return state.rows.get(message.key)
