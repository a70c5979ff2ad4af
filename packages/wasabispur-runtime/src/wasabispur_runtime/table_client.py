"""Call the table service and validate its answers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from random import Random
from typing import Any
from urllib.parse import urlencode

from pydantic import ValidationError

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import ReadRows, Transact
from wasabispur_core.message import Message
from wasabispur_core.storage.circuit import TrialTiming
from wasabispur_core.storage.store import Row, Transaction
from wasabispur_core.storage.store_access import CALL_DEADLINE, DEFAULT_TRIAL_TIMING
from wasabispur_core.storage.store_call import (
    CallAnswer,
    CallLost,
    ConditionsFailed,
    PageRead,
    RowsFound,
    RowsRequested,
    SendLookup,
    SendPageRead,
    SendTransaction,
    TransactionApplied,
    TransactionRequested,
)
from wasabispur_core.storage.table_access import decide, new_table_access
from wasabispur_core.timer import TimerService

from .decision_actor import execute
from .http_call import CALL_TIMEOUT, HttpClient, HttpResponse
from .store_actor import (
    call_service,
    failed_answer,
    Receiver,
    StoreActor,
    StoreTransport,
)
from .table_protocol import (
    AppliedBody,
    ConflictBody,
    PageBody,
    RowBody,
    transaction_body,
)

ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
"""Largest answer in bytes; a page of rows of the largest size fits."""

PAGE_ROWS = 100
"""Rows requested in one page."""

OK = 200
NOT_FOUND = 404
CONFLICT = 409


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyTransaction(Message):
    """Request a transaction; its StoreResult is passed to receiver."""

    transaction: Transaction
    receiver: Receiver


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchRows(Message):
    """Request all rows under a prefix.

    RowsRead or RowsUnavailable is passed to receiver.
    """

    read_id: str
    prefix: str
    receiver: Receiver


class TableClient(StoreActor):
    """Call the table service and track the calls in progress."""

    def __init__(
        self,
        timers: TimerService,
        url: str,
        random: Random,
        catalogue: ChartCatalogue | None = None,
        call_timeout: float = CALL_TIMEOUT,
        transport: StoreTransport | None = None,
        call_deadline: float = CALL_DEADLINE,
        allow_trial_writes: bool = True,
        timing: TrialTiming = DEFAULT_TRIAL_TIMING,
    ) -> None:
        state = new_table_access(
            catalogue or ChartCatalogue(),
            random,
            call_deadline=call_deadline,
            allow_trial_writes=allow_trial_writes,
            timing=timing,
        )
        super().__init__(
            "table-client", timers, url, state, decide, call_timeout, transport
        )

    def on_apply_transaction(self, message: ApplyTransaction) -> None:
        """Start a transaction."""
        call_id = self.register_call(message.receiver)
        self.on_message(
            TransactionRequested(call_id=call_id, transaction=message.transaction)
        )

    def on_fetch_rows(self, message: FetchRows) -> None:
        """Start a read."""
        call_id = self.register_call(message.receiver)
        self.on_message(
            RowsRequested(
                call_id=call_id, read_id=message.read_id, prefix=message.prefix
            )
        )


@execute.register
def _(command: Transact, actor: Any) -> None:
    actor.table.post(
        ApplyTransaction(transaction=command.transaction, receiver=actor.post_urgent)
    )


@execute.register
def _(command: ReadRows, actor: Any) -> None:
    actor.table.post(
        FetchRows(
            read_id=command.read_id, prefix=command.prefix, receiver=actor.post_urgent
        )
    )


@call_service.register
def _(command: SendTransaction, client: HttpClient) -> CallAnswer:
    body = json.dumps(transaction_body(command.transaction)).encode()
    result = client.call("POST", "/v1/transactions", body, ANSWER_LIMIT_BYTES)
    if not isinstance(result, HttpResponse):
        return failed_answer(result, command.call_id)
    try:
        if result.status == OK:
            return _applied_answer(
                command, AppliedBody.model_validate_json(result.body)
            )
        if result.status == CONFLICT:
            return _conflict_answer(
                command, ConflictBody.model_validate_json(result.body)
            )
    except ValidationError:
        return _malformed_answer(command.call_id)
    return failed_answer(result, command.call_id)


@call_service.register
def _(command: SendLookup, client: HttpClient) -> CallAnswer:
    rows: list[Row] = []
    for key in command.keys:
        path = f"/v1/row?{urlencode({'key': key})}"
        result = client.call(
            "GET", path, None, ANSWER_LIMIT_BYTES, timeout=command.timeout
        )
        if isinstance(result, HttpResponse) and result.status == NOT_FOUND:
            continue
        if not isinstance(result, HttpResponse) or result.status != OK:
            return failed_answer(result, command.call_id)
        try:
            row = RowBody.model_validate_json(result.body).row()
        except ValidationError:
            return _malformed_answer(command.call_id)
        if row.key != key:
            return _malformed_answer(command.call_id)
        rows.append(row)
    return RowsFound(call_id=command.call_id, rows=tuple(rows))


@call_service.register
def _(command: SendPageRead, client: HttpClient) -> CallAnswer:
    query = {"prefix": command.prefix, "after": command.after, "limit": PAGE_ROWS}
    path = f"/v1/rows?{urlencode(query)}"
    result = client.call("GET", path, None, ANSWER_LIMIT_BYTES)
    if not isinstance(result, HttpResponse) or result.status != OK:
        return failed_answer(result, command.call_id)
    try:
        page = PageBody.model_validate_json(result.body)
    except ValidationError:
        return _malformed_answer(command.call_id)
    if not _is_valid_page(page, command):
        return _malformed_answer(command.call_id)
    rows = tuple(row.row() for row in page.rows)
    return PageRead(call_id=command.call_id, rows=rows, next_key=page.next)


def _applied_answer(command: SendTransaction, body: AppliedBody) -> CallAnswer:
    # An answer with other keys belongs to another transaction.
    if body.versions.keys() != {write.key for write in command.transaction.writes}:
        return _malformed_answer(command.call_id)
    return TransactionApplied(call_id=command.call_id, versions=body.versions)


def _conflict_answer(command: SendTransaction, body: ConflictBody) -> CallAnswer:
    keys = {condition.key for condition in command.transaction.conditions}
    if not keys.issuperset(body.conflicts):
        return _malformed_answer(command.call_id)
    return ConditionsFailed(call_id=command.call_id, keys=tuple(body.conflicts))


def _is_valid_page(page: PageBody, command: SendPageRead) -> bool:
    """Return whether a page continues the read.

    Its keys must have the prefix and increase, and next must be the last of them,
    so that reading page after page ends.
    """
    last = command.after
    for row in page.rows:
        if row.key <= last or not row.key.startswith(command.prefix):
            return False
        last = row.key
    return page.next is None or (bool(page.rows) and page.next == last)


def _malformed_answer(call_id: int) -> CallLost:
    return CallLost(call_id=call_id, reason="the answer does not fit the call")
