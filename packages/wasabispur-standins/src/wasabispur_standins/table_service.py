"""Stand in for the platform's table service."""

from __future__ import annotations

import json
from dataclasses import asdict
from functools import singledispatch
from typing import Annotated, Any

import cherrypy
from pydantic import BaseModel, ConfigDict, Field

from wasabispur.bridge import Bridge
from wasabispur.http_error import BadRequestError
from wasabispur.http_request import read_model
from wasabispur_core.store import Condition, Row, ROW_LIMIT_BYTES, Transaction, Write
from wasabispur_runtime.actor import Actor

from .json_http import error_answer, json_answer, method_refused
from .stand_in import REPLY_TIMEOUT
from .table_state import (
    Applied,
    Apply,
    Page,
    RateExceeded,
    ReadPage,
    ReadRow,
    Refused,
)

PAGE_LIMIT = 1000
DEFAULT_PAGE = 100

Key = Annotated[str, Field(min_length=1, max_length=512)]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class ConditionBody(_Body):
    """Validate one condition."""

    key: Key
    version: int


class WriteBody(_Body):
    """Validate one write."""

    key: Key
    value: dict[str, Any] | None


class TransactionBody(_Body):
    """Validate one transaction."""

    operation_id: Annotated[str, Field(min_length=1, max_length=128)]
    conditions: Annotated[list[ConditionBody], Field(max_length=256)] = []
    writes: Annotated[list[WriteBody], Field(min_length=1, max_length=256)]

    def transaction(self) -> Transaction:
        """Return the typed transaction; raise BadRequestError for a large row."""
        for write in self.writes:
            if len(json.dumps(write.value)) > ROW_LIMIT_BYTES:
                raise BadRequestError(
                    f"the row {write.key} exceeds {ROW_LIMIT_BYTES} bytes",
                    "keep large values in the object store",
                )
        return Transaction(
            operation_id=self.operation_id,
            conditions=tuple(Condition(**c.model_dump()) for c in self.conditions),
            writes=tuple(Write(**w.model_dump()) for w in self.writes),
        )


class TableResource:
    """Serve transactions and reads."""

    def __init__(self, bridge: Bridge, table: Actor) -> None:
        self.bridge = bridge
        self.table = table

    @cherrypy.expose
    def transactions(self) -> bytes:
        """Apply one transaction."""
        if cherrypy.request.method != "POST":
            return method_refused()
        transaction = read_model(TransactionBody).transaction()
        message = Apply(transaction=transaction)
        return write_answer(self.bridge.ask(self.table, message, REPLY_TIMEOUT))

    @cherrypy.expose
    def rows(self, prefix: str = "", after: str = "", limit: str = "") -> bytes:
        """Return one page of rows."""
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
    """Hold the resources of the table service."""

    def __init__(self, bridge: Bridge, table: Actor) -> None:
        self.v1 = TableResource(bridge, table)


@singledispatch
def write_answer(reply: object) -> bytes:
    """Write the reply of the table to the caller."""
    return error_answer(404, "NotFound", "there is no such row", "check the key")


@write_answer.register
def _(reply: Applied) -> bytes:
    return json_answer({"versions": reply.versions})


@write_answer.register
def _(reply: Refused) -> bytes:
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
