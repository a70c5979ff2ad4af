"""Serve the HTTP interface of the table service stand-in, a development tool."""

from __future__ import annotations

from dataclasses import asdict
from functools import singledispatch
from typing import Annotated, Any

import cherrypy
from pydantic import BaseModel, ConfigDict, Field

from wasabispur.bridge import Bridge
from wasabispur.http_error import BadRequestError
from wasabispur.http_request import read_model
from wasabispur_core.storage.store import (
    ABSENT,
    Condition,
    Row,
    ROW_LIMIT_BYTES,
    row_size,
    Transaction,
    Write,
)
from wasabispur_runtime.actor import Actor

from .json_http import error_answer, json_answer, method_not_allowed
from .stand_in import REPLY_TIMEOUT
from .table_state import (
    Applied,
    Apply,
    Conflicted,
    Page,
    RateExceeded,
    ReadPage,
    ReadRow,
)

PAGE_LIMIT = 1000
"""Maximum rows of one page."""

DEFAULT_PAGE = 100
"""Rows of one page if the caller sets no limit."""

Key = Annotated[str, Field(min_length=1, max_length=512)]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class ConditionBody(_Body):
    """Validate the condition that a row has a version."""

    key: Key
    version: Annotated[int, Field(ge=ABSENT)]


class WriteBody(_Body):
    """Validate one write; a null value deletes the row."""

    key: Key
    value: dict[str, Any] | None


class TransactionBody(_Body):
    """Validate the body of a transaction."""

    operation_id: Annotated[str, Field(min_length=1, max_length=128)]
    conditions: Annotated[list[ConditionBody], Field(max_length=256)] = []
    writes: Annotated[list[WriteBody], Field(min_length=1, max_length=256)]

    def transaction(self) -> Transaction:
        """Return the transaction; raise BadRequestError if a row is too large."""
        for write in self.writes:
            if row_size(write.value) > ROW_LIMIT_BYTES:
                raise BadRequestError(
                    f"row {write.key} exceeds {ROW_LIMIT_BYTES} bytes",
                    "keep large values in the object store",
                )
        return Transaction(
            operation_id=self.operation_id,
            conditions=tuple(Condition(**c.model_dump()) for c in self.conditions),
            writes=tuple(Write(**w.model_dump()) for w in self.writes),
        )


class TableResource:
    """Serve the transactions and the reads under /v1."""

    def __init__(self, bridge: Bridge, table: Actor) -> None:
        self.bridge = bridge
        self.table = table

    @cherrypy.expose
    def transactions(self) -> bytes:
        """Apply one transaction."""
        if cherrypy.request.method != "POST":
            return method_not_allowed()
        transaction = read_model(TransactionBody).transaction()
        message = Apply(transaction=transaction)
        return write_answer(self.bridge.ask(self.table, message, REPLY_TIMEOUT))

    @cherrypy.expose
    def rows(self, prefix: str = "", after: str = "", limit: str = "") -> bytes:
        """Return one page of the rows under a prefix, after a key."""
        size = int(limit) if limit.isascii() and limit.isdigit() else DEFAULT_PAGE
        size = min(max(size, 1), PAGE_LIMIT)
        message = ReadPage(prefix=prefix, after=after, limit=size)
        return write_answer(self.bridge.ask(self.table, message, REPLY_TIMEOUT))

    @cherrypy.expose
    def row(self, key: str) -> bytes:
        """Return one row."""
        message = ReadRow(key=key)
        return write_answer(self.bridge.ask(self.table, message, REPLY_TIMEOUT))


class TableRoot:
    """Route the paths of the table service."""

    def __init__(self, bridge: Bridge, table: Actor) -> None:
        self.v1 = TableResource(bridge, table)


@singledispatch
def write_answer(reply: object) -> bytes:
    """Encode a reply of the table as the HTTP response; no row gives status 404."""
    return error_answer(404, "NotFound", "there is no such row", "check the key")


@write_answer.register
def _(reply: Applied) -> bytes:
    return json_answer({"versions": reply.versions})


@write_answer.register
def _(reply: Conflicted) -> bytes:
    return json_answer({"conflicts": reply.conflicts}, 409)


@write_answer.register
def _(reply: RateExceeded) -> bytes:
    return error_answer(429, "RateExceeded", "too many calls", "call less often")


@write_answer.register
def _(reply: Page) -> bytes:
    return json_answer(
        {"rows": [asdict(row) for row in reply.rows], "next": reply.next}
    )


@write_answer.register
def _(reply: Row) -> bytes:
    return json_answer(asdict(reply))
