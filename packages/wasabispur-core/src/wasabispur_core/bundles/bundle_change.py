"""Decide the operations on bundle changes: proposal, review, sign-off and acceptance.

Every entry instance handles operations of operators on changes of the bundle, the
versioned set of settings. An operation reads the change and the pointer to the newest
version, checks the step with the bundle change state chart, and writes the rows in one
conditional transaction of the table service. If the answer to a write is lost, the
change's row shows whether the write took effect.
"""

from __future__ import annotations

from functools import singledispatch

from ..command import CancelTimer, Command, ReadRows, SetTimer, Transact
from ..error import StoreError, UnhandledMessageError, WasabispurError
from ..jobs.fleet import WorkerAttached, WorkerDetached, WorkerLeaving
from ..message import Message
from ..storage.store import (
    ABSENT,
    Committed,
    Conflicted,
    Row,
    RowsRead,
    RowsUnavailable,
    StoreUnavailable,
)
from .bundle import BundleError, check_content
from .bundle_action import conflict_error, fail_operation, out_of_order_error
from .bundle_operation import (
    AcceptBundle,
    BundleAccepted,
    BundleChangeState,
    BundleQuery,
    BundleStoreError,
    ChangeOperation,
    ChangeRead,
    Operation,
    OperationDue,
    OperationEnded,
    OperationTimeoutError,
    ProposeBundle,
    ResolveDue,
    UnknownChangeError,
)
from .bundle_packing import check_packing
from .bundle_query import continue_query, fail_query, start_query
from .bundle_record import change_key, ChangeRecord, POINTER_KEY, version_record

OPERATION_LIMIT = 100
"""Largest number of operations in progress at one entry instance."""

OPERATION_TIMEOUT = 10.0
"""Seconds after which the operator is told that the outcome is unknown."""

RESOLVE_DELAY = 0.2
"""Seconds before the change's row is first read after a write without an answer."""

RESOLVE_DELAY_LIMIT = 2.0
"""Longest delay in seconds between two such reads; the delay doubles up to it."""

CHANGE_READ = "change"
POINTER_READ = "pointer"


@singledispatch
def decide(message: Message, state: BundleChangeState, now: float) -> list[Command]:
    """Update the operations for a message and return the resulting commands."""
    raise UnhandledMessageError(
        f"the bundle change component does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: ChangeOperation, state: BundleChangeState, now: float) -> list[Command]:
    operation = Operation(message, state.chart.start())
    if len(state.operations) >= OPERATION_LIMIT:
        error = BundleStoreError(
            f"{OPERATION_LIMIT} bundle operations are in progress here",
            "try again later or through another entry",
        )
        return fail_operation(state, operation, error)
    state.operations[message.operation_id] = operation
    timer = SetTimer(
        timer_id=message.operation_id,
        delay=OPERATION_TIMEOUT,
        message=OperationDue(operation_id=message.operation_id),
    )
    return [timer, _read(operation, CHANGE_READ), _read(operation, POINTER_READ)]


@decide.register
def _(message: BundleQuery, state: BundleChangeState, now: float) -> list[Command]:
    return start_query(message, state)


@decide.register
def _(message: RowsRead, state: BundleChangeState, now: float) -> list[Command]:
    operation_id, _, read_name = message.read_id.partition("/")
    operation = state.operations.get(operation_id)
    if operation is None:
        return continue_query(operation_id, read_name, message.rows, state)
    if read_name not in operation.reads:
        return []
    operation.reads.discard(read_name)
    try:
        if operation.transaction is None:
            return _apply_rows(operation, read_name, message.rows, state, now)
        return _resolve(operation, message.rows, state)
    except (BundleError, StoreError) as error:
        return fail_operation(state, operation, _bundle_error(error))


@decide.register
def _(message: RowsUnavailable, state: BundleChangeState, now: float) -> list[Command]:
    operation_id, _, read_name = message.read_id.partition("/")
    operation = state.operations.get(operation_id)
    if operation is None:
        return fail_query(operation_id, message.reason, state)
    if read_name not in operation.reads:
        return []
    operation.reads.discard(read_name)
    if operation.transaction is not None:
        return [_schedule_resolve(operation)]
    return fail_operation(state, operation, _unavailable_error(message.reason))


@decide.register
def _(message: Committed, state: BundleChangeState, now: float) -> list[Command]:
    operation = state.operations.get(message.operation_id)
    if operation is None:
        return []
    return _complete(operation, state)


@decide.register
def _(message: Conflicted, state: BundleChangeState, now: float) -> list[Command]:
    operation = state.operations.get(message.operation_id)
    if operation is None:
        return []
    # The conflict may be with an earlier attempt of this operation whose answer was
    # lost, so the change's row is read to find out.
    operation.conflicted = True
    return [_read(operation, CHANGE_READ)]


@decide.register
def _(message: StoreUnavailable, state: BundleChangeState, now: float) -> list[Command]:
    operation = state.operations.get(message.operation_id)
    if operation is None:
        return []
    # An earlier attempt may have taken effect even if this attempt did not.
    if message.uncertain or operation.attempts:
        return [_schedule_resolve(operation)]
    return fail_operation(state, operation, _unavailable_error(message.reason))


@decide.register
def _(message: ResolveDue, state: BundleChangeState, now: float) -> list[Command]:
    operation = state.operations.get(message.operation_id)
    if operation is None:
        return []
    return [_read(operation, CHANGE_READ)]


@decide.register
def _(message: OperationDue, state: BundleChangeState, now: float) -> list[Command]:
    operation = state.operations.get(message.operation_id)
    if operation is None:
        return []
    error = OperationTimeoutError(
        f"the table service did not finish the operation on change "
        f"{operation.request.change_id} within {OPERATION_TIMEOUT:g} s",
        "show the change to see whether the operation took effect",
    )
    return fail_operation(state, operation, error)


@decide.register
def _(message: WorkerAttached, state: BundleChangeState, now: float) -> list[Command]:
    fleet = state.fleets.get(message.worker.data_centre)
    if fleet is not None:
        fleet.attach(message.worker)
    return []


@decide.register(WorkerDetached)
@decide.register(WorkerLeaving)
def _(
    message: WorkerDetached | WorkerLeaving, state: BundleChangeState, now: float
) -> list[Command]:
    for fleet in state.fleets.values():
        fleet.detach(message.worker_id)
    return []


def _read(operation: Operation, kind: str) -> ReadRows:
    request = operation.request
    prefix = POINTER_KEY if kind == POINTER_READ else change_key(request.change_id)
    # The number distinguishes the read from earlier reads, whose rows may be outdated.
    operation.read_count += 1
    read_name = f"{kind}/{operation.read_count}"
    operation.reads.add(read_name)
    return ReadRows(read_id=f"{request.operation_id}/{read_name}", prefix=prefix)


def _apply_rows(
    operation: Operation,
    read_name: str,
    rows: tuple[Row, ...],
    state: BundleChangeState,
    now: float,
) -> list[Command]:
    if read_name.startswith(POINTER_READ):
        _apply_pointer(operation, rows, state)
    else:
        _apply_change(operation, rows, state)
    if operation.reads:
        return []
    return _perform_step(operation, state, now)


def _apply_pointer(
    operation: Operation, rows: tuple[Row, ...], state: BundleChangeState
) -> None:
    for row in rows:
        if row.key == POINTER_KEY:
            operation.pointer_row_version = row.version
            operation.current_version = state.records.pointer(row.value).version


def _apply_change(
    operation: Operation, rows: tuple[Row, ...], state: BundleChangeState
) -> None:
    for row in rows:
        if row.key == change_key(operation.request.change_id):
            operation.change_version = row.version
            operation.change = state.records.change(row.value)


def _perform_step(
    operation: Operation, state: BundleChangeState, now: float
) -> list[Command]:
    request, lifecycle = operation.request, operation.lifecycle
    if isinstance(request, ProposeBundle):
        check_content(request.content)
        check_packing(request.content, state.fleets)
        return lifecycle.handle(request, state, operation, now)
    if operation.change is None:
        raise UnknownChangeError(
            f"there is no change {request.change_id}", "list the changes"
        )
    lifecycle.handle(ChangeRead(), state, operation, now)
    if lifecycle.final:
        raise out_of_order_error(operation)
    if isinstance(request, AcceptBundle):
        content = state.records.content(operation.change.content)
        check_packing(content, state.fleets)
    return lifecycle.handle(request, state, operation, now)


def has_taken_effect(change: ChangeRecord, operation_id: str) -> bool:
    """Return whether the change's row contains the step that an operation wrote."""
    return change.has_operation(operation_id)


def _resolve(
    operation: Operation, rows: tuple[Row, ...], state: BundleChangeState
) -> list[Command]:
    key = change_key(operation.request.change_id)
    row = next((row for row in rows if row.key == key), None)
    if row is not None:
        change = state.records.change(row.value)
        if has_taken_effect(change, operation.request.operation_id):
            return _complete(operation, state)
    version = ABSENT if row is None else row.version
    # A condition that failed once never holds again, since row versions only increase.
    if operation.conflicted or version != operation.change_version:
        return fail_operation(state, operation, conflict_error(operation))
    if operation.transaction is None:
        return []
    return [Transact(transaction=operation.transaction)]


def _schedule_resolve(operation: Operation) -> SetTimer:
    delay = min(RESOLVE_DELAY * 2**operation.attempts, RESOLVE_DELAY_LIMIT)
    operation.attempts += 1
    operation_id = operation.request.operation_id
    return SetTimer(
        timer_id=f"{operation_id}/resolve",
        delay=delay,
        message=ResolveDue(operation_id=operation_id),
    )


def _complete(operation: Operation, state: BundleChangeState) -> list[Command]:
    operation_id = operation.request.operation_id
    state.operations.pop(operation_id, None)
    change = operation.written
    if change is None:
        return []
    commands: list[Command] = [CancelTimer(timer_id=operation_id)]
    if isinstance(operation.request, AcceptBundle):
        bundle = version_record(change).signed_bundle()
        commands.append(BundleAccepted(bundle=bundle))
    commands.append(OperationEnded(operation_id=operation_id, changes=(change,)))
    return commands


def _unavailable_error(reason: str) -> BundleStoreError:
    return BundleStoreError(
        f"the table service can't be used, and nothing was written: {reason}",
        "try again when the table service answers",
    )


@singledispatch
def _bundle_error(error: WasabispurError) -> BundleError:
    return BundleStoreError(error.message, error.remedy)


@_bundle_error.register
def _(error: BundleError) -> BundleError:
    return error
