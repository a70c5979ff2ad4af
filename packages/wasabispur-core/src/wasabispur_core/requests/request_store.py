"""Route results of the table service to the requests that wait for them."""

from __future__ import annotations

from ..command import Command
from ..storage.store import (
    Committed,
    Conflicted,
    RowsRead,
    RowsUnavailable,
    StoreResult,
    SUPERSEDED,
)
from .claim import claim_key, claim_status, fingerprint
from .request import decide, handle_request_event, Request, RequestState


@decide.register
def _(message: StoreResult, state: RequestState, now: float) -> list[Command]:
    request = _request_of_operation(message.operation_id, state)
    if request is None:
        return []
    return handle_request_event(message, state, request, now)


@decide.register
def _(message: Committed, state: RequestState, now: float) -> list[Command]:
    request = _request_of_operation(message.operation_id, state)
    if request is None:
        return []
    if SUPERSEDED not in message.versions.values():
        return handle_request_event(message, state, request, now)
    replaced = Conflicted(
        operation_id=message.operation_id, keys=tuple(message.versions)
    )
    return handle_request_event(replaced, state, request, now)


@decide.register
def _(message: RowsRead, state: RequestState, now: float) -> list[Command]:
    request = _request_of_operation(message.read_id, state)
    if request is None:
        return []
    received = request.received
    status = claim_status(
        message.rows,
        claim_key(received.organisation, received.idempotency_key),
        received.request_id,
        fingerprint(received.service, received.method, received.path, received.body),
    )
    return handle_request_event(status, state, request, now)


@decide.register
def _(message: RowsUnavailable, state: RequestState, now: float) -> list[Command]:
    request = _request_of_operation(message.read_id, state)
    if request is None:
        return []
    return handle_request_event(message, state, request, now)


def _request_of_operation(operation_id: str, state: RequestState) -> Request | None:
    request = state.requests.get(operation_id.partition("/")[0])
    if request is None or request.operation_id != operation_id:
        return None
    return request
