"""Decide operators' queries for stored bundle changes and accepted versions.

The entry instance that gets a query reads the rows from the table service. A list
without a version first reads the pointer, which names the newest version.
"""

from __future__ import annotations

from functools import singledispatch

from ..command import Command, ReadRows
from ..error import StoreError
from ..storage.store import Row
from .bundle_operation import (
    BundleChangeState,
    BundleQuery,
    BundleStoreError,
    ListChanges,
    ListVersions,
    OperationEnded,
    OperationFailed,
    Query,
    ShowChange,
    UnknownChangeError,
)
from .bundle_record import (
    block_prefix,
    change_key,
    CHANGE_PREFIX,
    POINTER_KEY,
    VERSION_PREFIX,
)

QUERY_LIMIT = 100
"""Largest number of queries in progress at one entry instance."""

POINTER_READ = "pointer"
ROWS_READ = "rows"

BLOCK_VERSIONS = 10
"""Number of versions under one key prefix; a list shows two such blocks."""


def start_query(message: BundleQuery, state: BundleChangeState) -> list[Command]:
    """Start a query and return its first reads, or its failure."""
    query = Query(message)
    if len(state.queries) >= QUERY_LIMIT:
        return _fail(query, f"{QUERY_LIMIT} queries are in progress here", state)
    state.queries[message.operation_id] = query
    if isinstance(message, ShowChange):
        return _read(query, (change_key(message.change_id),))
    near = getattr(message, "near", 0)
    if near:
        return _read(query, _prefixes(message, near))
    query.reads = {POINTER_READ}
    return [
        ReadRows(read_id=f"{message.operation_id}/{POINTER_READ}", prefix=POINTER_KEY)
    ]


def continue_query(
    operation_id: str, read_name: str, rows: tuple[Row, ...], state: BundleChangeState
) -> list[Command]:
    """Apply the rows of one read, and reply when all reads are complete."""
    query = state.queries.get(operation_id)
    if query is None or read_name not in query.reads:
        return []
    query.reads.discard(read_name)
    try:
        if read_name == POINTER_READ:
            pointers = [row for row in rows if row.key == POINTER_KEY]
            versions = [state.records.pointer(row.value).version for row in pointers]
            return _read(query, _prefixes(query.request, max(versions, default=0)))
        query.rows += rows
        return [] if query.reads else _complete(query, state)
    except StoreError as error:
        return _fail(query, error.message, state)


def fail_query(
    operation_id: str, reason: str, state: BundleChangeState
) -> list[Command]:
    """End a query whose rows can't be read."""
    query = state.queries.get(operation_id)
    return [] if query is None else _fail(query, reason, state)


@singledispatch
def records_of(
    request: BundleQuery, rows: list[Row], state: BundleChangeState
) -> OperationEnded:
    """Return the reply to a query, made from the rows that were read."""
    changes = tuple(state.records.change(row.value) for row in rows)
    return OperationEnded(operation_id=request.operation_id, changes=changes)


@records_of.register
def _(
    request: ListVersions, rows: list[Row], state: BundleChangeState
) -> OperationEnded:
    versions = tuple(state.records.version(row.value) for row in rows)
    return OperationEnded(operation_id=request.operation_id, versions=versions)


def _prefixes(request: BundleQuery, near: int) -> tuple[str, ...]:
    prefix = CHANGE_PREFIX if isinstance(request, ListChanges) else VERSION_PREFIX
    blocks = (
        block_prefix(prefix, max(near - BLOCK_VERSIONS, 0)),
        block_prefix(prefix, near),
    )
    return tuple(dict.fromkeys(blocks))


def _read(query: Query, prefixes: tuple[str, ...]) -> list[Command]:
    reads: list[Command] = []
    for number, prefix in enumerate(prefixes):
        read_name = f"{ROWS_READ}{number}"
        query.reads.add(read_name)
        read_id = f"{query.request.operation_id}/{read_name}"
        reads.append(ReadRows(read_id=read_id, prefix=prefix))
    return reads


def _complete(query: Query, state: BundleChangeState) -> list[Command]:
    request = query.request
    query.rows.sort(key=lambda row: row.key)
    reply = records_of(request, query.rows, state)
    state.queries.pop(request.operation_id, None)
    if isinstance(request, ShowChange) and not reply.changes:
        error = UnknownChangeError(
            f"there is no change {request.change_id}", "list the changes"
        )
        return [OperationFailed(operation_id=request.operation_id, error=error)]
    return [reply]


def _fail(query: Query, reason: str, state: BundleChangeState) -> list[Command]:
    operation_id = query.request.operation_id
    state.queries.pop(operation_id, None)
    error = BundleStoreError(
        f"the bundle rows can't be read: {reason}",
        "try again when the table service answers",
    )
    return [OperationFailed(operation_id=operation_id, error=error)]
