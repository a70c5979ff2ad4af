"""Simulate the table service for the decisions of an entry."""

from __future__ import annotations

from wasabispur_core.command import ReadRows, Transact
from wasabispur_core.message import Message
from wasabispur_core.storage.store import (
    ABSENT,
    Committed,
    Conflicted,
    Row,
    RowsRead,
    RowsUnavailable,
    StoreUnavailable,
)


class FakeTable:
    """Store rows, and lose or refuse answers according to a mode."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}

    def answer(self, command: Transact | ReadRows, mode: str = "normal") -> Message:
        """Apply a command and return the answer.

        Mode "down" refuses the command, "lost" applies it without an answer, and
        "dropped" neither applies nor answers it.
        """
        if isinstance(command, ReadRows):
            return self.read(command, mode)
        operation_id = command.transaction.operation_id
        if mode in ("down", "dropped"):
            return StoreUnavailable(
                operation_id=operation_id, reason=mode, uncertain=mode == "dropped"
            )
        result = self.apply(command)
        if mode == "lost":
            return StoreUnavailable(
                operation_id=operation_id, reason=mode, uncertain=True
            )
        return result

    def read(self, command: ReadRows, mode: str) -> Message:
        """Return the rows under the prefix."""
        if mode != "normal":
            return RowsUnavailable(read_id=command.read_id, reason=mode)
        rows = [row for key, row in self.rows.items() if key.startswith(command.prefix)]
        return RowsRead(read_id=command.read_id, rows=tuple(rows))

    def apply(self, command: Transact) -> Message:
        """Apply a transaction if its conditions hold."""
        transaction = command.transaction
        conflicts = [
            condition.key
            for condition in transaction.conditions
            if self.version(condition.key) != condition.version
        ]
        if conflicts:
            return Conflicted(
                operation_id=transaction.operation_id, keys=tuple(conflicts)
            )
        versions = {}
        for write in transaction.writes:
            assert write.value is not None
            versions[write.key] = self.version(write.key) + 1
            self.rows[write.key] = Row(
                key=write.key,
                version=versions[write.key],
                operation_id=transaction.operation_id,
                value=write.value,
            )
        return Committed(operation_id=transaction.operation_id, versions=versions)

    def version(self, key: str) -> int:
        """Return the version of a row."""
        row = self.rows.get(key)
        return row.version if row else ABSENT
