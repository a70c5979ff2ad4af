"""Write the owner's rows under the shard's row, as actions of the ownership chart.

Each transaction rewrites the shard's row, so that it fails once another entry instance
has become the owner. A row that the table service can't store is found and left out.
"""

from __future__ import annotations

from dataclasses import replace

from ..action import holds, perform
from ..command import Command, Transact, WriteLog
from ..log_event import ROW_LEFT_OUT, SHARD_ROW_REJECTED
from ..message import Message
from ..storage.store import (
    Condition,
    ROW_LIMIT_BYTES,
    row_size,
    StoreUnavailable,
    Transaction,
    Write,
)
from .ownership import (
    BATCH_LIMIT,
    BATCH_LIMIT_BYTES,
    NotifyScheduler,
    Ownership,
    OwnershipAction,
    OwnershipGuard,
    RESEND_DELAY,
    RowRejected,
    WriteRow,
)


class Resend(OwnershipAction):
    """Send the unanswered transaction again."""

    __slots__ = ()


class QueueWrite(OwnershipAction):
    """Add a row to the next transaction, or leave it out if it is too large."""

    __slots__ = ()


class SendShardRow(OwnershipAction):
    """Send the shard's row alone after a transaction was rejected."""

    __slots__ = ()


class JudgeRows(OwnershipAction):
    """Send the rows of a rejected transaction one by one, or leave out the only one.

    The shard's row was stored alone in between, so one of these rows is at fault.
    """

    __slots__ = ()


class LogRejection(OwnershipAction):
    """Log that the table service rejects the shard's row by itself."""

    __slots__ = ()


class BeginRelease(OwnershipAction):
    """Write no owner into the shard's row with the next transaction."""

    __slots__ = ()


class SendBatch(OwnershipAction):
    """Send queued rows or a due renewal if no transaction is in flight."""

    __slots__ = ()


class Released(OwnershipGuard):
    """Check whether the transaction that releases the shard has taken effect."""

    __slots__ = ()


class RowsRejected(OwnershipGuard):
    """Check whether the current transaction can't succeed with the rows it has."""

    __slots__ = ()


class ShardRowRejected(OwnershipGuard):
    """Check whether the shard's row can't be written, even alone."""

    __slots__ = ()


@perform.register
def _(action: Resend) -> list[Command]:
    state = action.state
    if state.in_flight is None or action.now - state.last_sent < RESEND_DELAY:
        return []
    state.last_sent = action.now
    return [Transact(transaction=state.in_flight)]


@holds.register
def _(guard: RowsRejected) -> bool:
    return _is_permanent(guard.message) and bool(guard.state.in_flight_rows)


@holds.register
def _(guard: ShardRowRejected) -> bool:
    return _is_permanent(guard.message) and not guard.state.in_flight_rows


def _is_permanent(message: Message) -> bool:
    return isinstance(message, StoreUnavailable) and message.permanent


@perform.register
def _(action: QueueWrite) -> list[Command]:
    row = action.message
    if not isinstance(row, WriteRow):
        return []
    size = row_size(row.value)
    if size > ROW_LIMIT_BYTES:
        return _leave_out(row, f"{size} bytes exceed {ROW_LIMIT_BYTES}")
    action.state.pending.append(replace(row, size=size))
    return []


@perform.register
def _(action: SendShardRow) -> list[Command]:
    state, message = action.state, action.message
    state.refused = state.in_flight_rows
    state.refusal = message.reason if isinstance(message, StoreUnavailable) else ""
    return send(state, [], action.now)


@perform.register
def _(action: JudgeRows) -> list[Command]:
    state = action.state
    rows, state.refused = state.refused, []
    if len(rows) == 1:
        return _leave_out(rows[0], state.refusal)
    state.pending = [*rows, *state.pending]
    state.sent_alone = max(state.sent_alone, len(rows))
    return []


@perform.register
def _(action: LogRejection) -> list[Command]:
    state, message = action.state, action.message
    state.in_flight = None
    fields = {
        "key": state.key,
        "reason": message.reason if isinstance(message, StoreUnavailable) else "",
        "version": state.version,
        "epoch": state.lease.epoch,
        "waiting": len(state.refused) + len(state.pending),
        "lease_left": round(max(state.lease.held_until - action.now, 0.0), 3),
    }
    return [WriteLog(number=SHARD_ROW_REJECTED.number, fields=fields)]


def _leave_out(row: WriteRow, reason: str) -> list[Command]:
    log = WriteLog(
        number=ROW_LEFT_OUT.number, fields={"key": row.key, "reason": reason}
    )
    return [log, NotifyScheduler(message=RowRejected(key=row.key, reason=reason))]


@holds.register
def _(guard: Released) -> bool:
    state = guard.state
    if state.in_flight is None or not state.releasing:
        return False
    value = state.in_flight.writes[0].value or {}
    return not value.get("owner") and not (state.pending or state.refused)


@perform.register
def _(action: BeginRelease) -> list[Command]:
    action.state.releasing = True
    return []


@perform.register
def _(action: SendBatch) -> list[Command]:
    state = action.state
    due = action.now - state.first_sent >= state.renewal_interval or state.releasing
    if state.in_flight is not None or not (state.pending or due):
        return []
    return send(state, _take_batch(state), action.now)


def _take_batch(state: Ownership) -> list[WriteRow]:
    """Take the rows of the next transaction from those that wait."""
    limit = BATCH_LIMIT
    if state.sent_alone:
        limit = 1
        state.sent_alone -= 1
    count = size = 0
    for row in state.pending[:limit]:
        size += row.size
        if count and size > BATCH_LIMIT_BYTES:
            break
        count += 1
    rows, state.pending = state.pending[:count], state.pending[count:]
    return rows


def send(state: Ownership, rows: list[WriteRow], now: float) -> list[Command]:
    """Send a transaction with the shard's row and these rows."""
    shard_row = {
        "schema": state.schema,
        "owner": "" if state.releasing else state.entry_id,
        "epoch": state.lease.epoch,
        "lease": state.announced_lease,
    }
    # A later write of the same row replaces an earlier one in the batch.
    last = {row.key: row for row in rows}
    writes = [
        Write(key=key, value=row.value, size=row.size) for key, row in last.items()
    ]
    state.in_flight = Transaction(
        operation_id=state.new_operation_id(),
        conditions=(Condition(key=state.key, version=state.version),),
        writes=(Write(key=state.key, value=shard_row), *writes),
    )
    state.in_flight_rows = rows
    state.first_sent = state.last_sent = now
    return [Transact(transaction=state.in_flight)]
