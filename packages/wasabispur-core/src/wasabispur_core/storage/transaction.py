"""Define the actions and guards of the transaction state chart.

With them the table client decides how a transaction is sent and whether it took effect.
"""

from __future__ import annotations

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import Command
from .store import (
    ABSENT,
    Committed,
    Conflicted,
    ROW_LIMIT_BYTES,
    row_size,
    StoreUnavailable,
    SUPERSEDED,
    Transaction,
)
from .store_access import (
    BackOff,
    Expired,
    failure_reason,
    finish_call,
    RecordFailureReason,
    SetExpiry,
    StoreAccess,
)
from .store_call import (
    CallRejected,
    ConditionsFailed,
    RowsFound,
    SendLookup,
    SendTransaction,
    TransactionApplied,
    TransactionCall,
)


class TransactionAction(Action[StoreAccess, TransactionCall]):
    """Define an action of the transaction state chart; its subject is the call."""

    __slots__ = ()


class TransactionGuard(Guard[StoreAccess, TransactionCall]):
    """Define a guard of the transaction state chart; its subject is the call."""

    __slots__ = ()


class QueueTransaction(TransactionAction):
    """Queue the transaction for sending."""

    __slots__ = ()


class QueueLookup(TransactionAction):
    """Queue a lookup of the written rows."""

    __slots__ = ()


class MarkUncertain(TransactionAction):
    """Record that the transaction may have taken effect."""

    __slots__ = ()


class RecordConflict(TransactionAction):
    """Record the keys whose conditions did not hold."""

    __slots__ = ()


class DeliverCommitted(TransactionAction):
    """Deliver the new versions."""

    __slots__ = ()


class DeliverResolved(TransactionAction):
    """Deliver the versions that the lookup found in the rows."""

    __slots__ = ()


class DeliverConflict(TransactionAction):
    """Deliver the conflict, or an uncertain failure if an earlier answer was lost."""

    __slots__ = ()


class DeliverFailure(TransactionAction):
    """Report that the table service can't serve the transaction."""

    __slots__ = ()


class Admissible(TransactionGuard):
    """Check that the table service accepts calls and no row is too large."""

    __slots__ = ()


class Uncertain(TransactionGuard):
    """Check whether the transaction may have taken effect."""

    __slots__ = ()


class Idempotent(TransactionGuard):
    """Check that at most one of several sent copies can take effect.

    A condition on a written row ensures this, because the first write changes the
    version of the row.
    """

    __slots__ = ()


class Conflicting(TransactionGuard):
    """Check whether conditions of the transaction did not hold at the service."""

    __slots__ = ()


class Applied(TransactionGuard):
    """Check whether a row of the lookup has the transaction's operation id."""

    __slots__ = ()


def transaction_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the transaction chart bound to its actions and guards."""
    return catalogue.bind(
        "transaction",
        actions=[
            *TransactionAction.__subclasses__(),
            SetExpiry,
            BackOff,
            RecordFailureReason,
        ],
        guards=[*TransactionGuard.__subclasses__(), Expired],
    )


def oversized_row(transaction: Transaction) -> str:
    """Return the key of a row that exceeds the size limit, or an empty string."""
    for write in transaction.writes:
        size = row_size(write.value) if write.size is None else write.size
        if size > ROW_LIMIT_BYTES:
            return write.key
    return ""


def transaction_refusal(state: StoreAccess, transaction: Transaction) -> str:
    """Return why a transaction is refused, or an empty string."""
    key = oversized_row(transaction)
    if key:
        return f"row {key} exceeds {ROW_LIMIT_BYTES} bytes; put it in the object store"
    return state.refusal_reason


def written_keys(transaction: Transaction) -> tuple[str, ...]:
    """Return the keys of the written rows."""
    return tuple(write.key for write in transaction.writes)


@holds.register
def _(guard: Admissible) -> bool:
    return not transaction_refusal(guard.state, guard.subject.transaction)


@holds.register
def _(guard: Uncertain) -> bool:
    return guard.subject.uncertain


@holds.register
def _(guard: Idempotent) -> bool:
    transaction = guard.subject.transaction
    conditioned = {condition.key for condition in transaction.conditions}
    return not conditioned.isdisjoint(written_keys(transaction))


@holds.register
def _(guard: Conflicting) -> bool:
    return bool(guard.subject.conflicts)


@holds.register
def _(guard: Applied) -> bool:
    message = guard.message
    if not isinstance(message, RowsFound):
        return False
    operation_id = guard.subject.transaction.operation_id
    return any(row.operation_id == operation_id for row in message.rows)


@perform.register
def _(action: QueueTransaction) -> list[Command]:
    call = action.subject
    send = SendTransaction(call_id=call.call_id, transaction=call.transaction)
    action.state.writes.waiting.append(send)
    return []


@perform.register
def _(action: QueueLookup) -> list[Command]:
    call = action.subject
    send = SendLookup(call_id=call.call_id, keys=written_keys(call.transaction))
    action.state.reads.waiting.append(send)
    return []


@perform.register
def _(action: MarkUncertain) -> list[Command]:
    action.subject.uncertain = True
    action.subject.reason = failure_reason(action.message)
    return []


@perform.register
def _(action: RecordConflict) -> list[Command]:
    if isinstance(action.message, ConditionsFailed):
        action.subject.conflicts = action.message.keys
    return []


@perform.register
def _(action: DeliverCommitted) -> list[Command]:
    message = action.message
    versions = message.versions if isinstance(message, TransactionApplied) else {}
    return _deliver_versions(action, versions)


@perform.register
def _(action: DeliverResolved) -> list[Command]:
    call = action.subject
    rows = action.message.rows if isinstance(action.message, RowsFound) else ()
    operation_id = call.transaction.operation_id
    versions = dict.fromkeys(written_keys(call.transaction), ABSENT)
    for write in call.transaction.writes:
        if write.value is not None:
            versions[write.key] = SUPERSEDED
    for row in rows:
        own_write = row.operation_id == operation_id
        versions[row.key] = row.version if own_write else SUPERSEDED
    return _deliver_versions(action, versions)


@perform.register
def _(action: DeliverConflict) -> list[Command]:
    call = action.subject
    if call.uncertain and not _any_row_unchanged(action):
        call.reason = "a response was lost and the rows have been replaced since"
        return _deliver_failure(action)
    result = Conflicted(operation_id=call.transaction.operation_id, keys=call.conflicts)
    return finish_call(action.state, call, result)


@perform.register
def _(action: DeliverFailure) -> list[Command]:
    return _deliver_failure(action)


def _any_row_unchanged(action: DeliverConflict) -> bool:
    """Return whether a written row still has the version of its condition.

    The transaction has not taken effect then, because it writes all rows or none.
    """
    rows = action.message.rows if isinstance(action.message, RowsFound) else ()
    versions = {row.key: row.version for row in rows}
    transaction = action.subject.transaction
    written = written_keys(transaction)
    return any(
        versions.get(condition.key, ABSENT) == condition.version
        for condition in transaction.conditions
        if condition.key in written and condition.key not in action.subject.conflicts
    )


def _deliver_versions(
    action: TransactionAction, versions: dict[str, int]
) -> list[Command]:
    call = action.subject
    result = Committed(operation_id=call.transaction.operation_id, versions=versions)
    return finish_call(action.state, call, result)


def _deliver_failure(action: TransactionAction) -> list[Command]:
    call = action.subject
    reason = call.reason or transaction_refusal(action.state, call.transaction)
    uncertain = call.uncertain or bool(call.conflicts)
    refused = isinstance(action.message, CallRejected)
    result = StoreUnavailable(
        operation_id=call.transaction.operation_id,
        reason=reason or "the time for the call is over",
        uncertain=uncertain,
        permanent=not uncertain and (refused or bool(oversized_row(call.transaction))),
    )
    return finish_call(action.state, call, result)
