"""Define the JSON bodies of the table service's protocol."""

from __future__ import annotations

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from wasabispur_core.storage.store import KEY_LIMIT, Row, Transaction


class _Body(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class AppliedBody(_Body):
    """Represent the answer to a transaction that was applied; versions are by key."""

    versions: dict[str, Annotated[int, Field(ge=0)]]


class ConflictBody(_Body):
    """Represent the answer to a transaction whose conditions don't hold."""

    conflicts: Annotated[list[str], Field(min_length=1)]


class RowBody(_Body):
    """Represent one row."""

    key: Annotated[str, Field(min_length=1, max_length=KEY_LIMIT)]
    version: Annotated[int, Field(ge=1)]
    operation_id: str
    value: dict[str, Any]

    def row(self) -> Row:
        """Return the row as the core's type."""
        return Row(
            key=self.key,
            version=self.version,
            operation_id=self.operation_id,
            value=self.value,
        )


class PageBody(_Body):
    """Represent one page of rows; next is its last key, or None at the end."""

    rows: list[RowBody]
    next: str | None


def transaction_body(transaction: Transaction) -> dict[str, Any]:
    """Return the body of a request for a transaction."""
    return {
        "operation_id": transaction.operation_id,
        "conditions": [
            {"key": condition.key, "version": condition.version}
            for condition in transaction.conditions
        ],
        "writes": [
            {"key": write.key, "value": write.value} for write in transaction.writes
        ],
    }
