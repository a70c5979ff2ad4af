"""Simulate the table service in memory for tests without processes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from wasabispur_core.storage.store import (
    ABSENT,
    Committed,
    Conflicted,
    Row,
    ROW_LIMIT_BYTES,
    row_size,
    StoreResult,
    StoreUnavailable,
    Transaction,
)

Listener = Callable[[tuple[Row, ...], tuple[str, ...]], None]


@dataclass
class SimulatedStore:
    """Simulate versioned rows and notify listeners of each change.

    Each listener has a set of tables, which are the first parts of keys. The caller
    applies the faults: down makes the store unavailable, losing loses the results
    of transactions, and late delays a transaction whose result is lost.
    """

    version: int = 0
    rows: dict[str, Row] = field(default_factory=dict)
    listeners: dict[object, tuple[set[str], Listener]] = field(default_factory=dict)
    down: bool = False
    losing: bool = False
    late: bool = False

    def apply(self, transaction: Transaction) -> StoreResult:
        """Apply a transaction, or return why it has no effect.

        That is a condition that does not hold or has an invalid version, or a row that
        is too large.
        """
        operation_id = transaction.operation_id
        if any(row_size(write.value) > ROW_LIMIT_BYTES for write in transaction.writes):
            return rejected(transaction, "a row is too large")
        if any(item.version < ABSENT for item in transaction.conditions):
            return rejected(transaction, "a version is negative")
        conflicts = tuple(
            item.key
            for item in transaction.conditions
            if self.version_of(item.key) != item.version
        )
        if conflicts:
            return Conflicted(operation_id=operation_id, keys=conflicts)
        self.version += 1
        versions = {}
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                versions[write.key] = ABSENT
                continue
            versions[write.key] = self.version
            self.rows[write.key] = Row(
                key=write.key,
                version=self.version,
                operation_id=operation_id,
                value=write.value,
            )
        self.notify_listeners([write.key for write in transaction.writes])
        return Committed(operation_id=operation_id, versions=versions)

    def notify_listeners(self, keys: list[str]) -> None:
        """Notify each listener of the changed and the removed rows in its tables."""
        for tables, listener in list(self.listeners.values()):
            matching = [key for key in keys if key.partition("/")[0] in tables]
            rows = tuple(self.rows[key] for key in matching if key in self.rows)
            removed = tuple(key for key in matching if key not in self.rows)
            if matching:
                listener(rows, removed)

    def version_of(self, key: str) -> int:
        """Return the version of a row, or ABSENT."""
        return self.rows[key].version if key in self.rows else ABSENT

    def under(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with a prefix, ordered by key."""
        return tuple(
            row for key, row in sorted(self.rows.items()) if key.startswith(prefix)
        )


def rejected(transaction: Transaction, reason: str) -> StoreUnavailable:
    """Return the result of a transaction that can never succeed."""
    return StoreUnavailable(
        operation_id=transaction.operation_id,
        reason=reason,
        uncertain=False,
        permanent=True,
    )


def unavailable(transaction: Transaction, uncertain: bool) -> StoreUnavailable:
    """Return the result of a transaction that got no answer.

    Uncertain says that the transaction may have been applied.
    """
    return StoreUnavailable(
        operation_id=transaction.operation_id, reason="fault", uncertain=uncertain
    )
