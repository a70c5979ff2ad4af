"""Define the actions and guards of the ownership state chart.

Each entry instance runs the chart for each shard that it may own.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf

from ..action import holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import Command, ReadRows, Transact, WriteLog
from ..log_event import ROW_LEFT_OUT, SHARD_CLAIMED, SHARD_ROW_REJECTED
from ..message import Message
from ..storage.store import (
    ABSENT,
    Committed,
    Condition,
    ROW_LIMIT_BYTES,
    row_size,
    StoreUnavailable,
    SUPERSEDED,
    Transaction,
    Write,
)
from .ownership import (
    BATCH_LIMIT,
    BATCH_LIMIT_BYTES,
    CLOCK_DRIFT,
    NotifyScheduler,
    OBSERVATION_GAP,
    OUTAGE_GRACE,
    Ownership,
    OwnershipAction,
    OwnershipGuard,
    read_id,
    RESEND_DELAY,
    RowCommitted,
    RowRejected,
    ShardAcquired,
    ShardLost,
    ShardRowRead,
    WriteRow,
)


class RecordVersion(OwnershipAction):
    """Record the row; restart the lease wait if it changed or a read is late."""

    __slots__ = ()


class RestartObservation(OwnershipAction):
    """Restart the lease wait, because the owner may have been unable to renew."""

    __slots__ = ()


class ReadRow(OwnershipAction):
    """Read the shard's row."""

    __slots__ = ()


class Claim(OwnershipAction):
    """Write this entry into the shard's row as the owner with the next epoch."""

    __slots__ = ()


class AcceptCommit(OwnershipAction):
    """Extend the lease after a confirmed transaction."""

    __slots__ = ()


class AcceptRow(OwnershipAction):
    """Extend the lease after the row confirms an unanswered transaction."""

    __slots__ = ()


class NotifyAcquired(OwnershipAction):
    """Notify the scheduler that this entry owns the shard."""

    __slots__ = ()


class NotifyLost(OwnershipAction):
    """Notify the scheduler that this entry no longer owns the shard."""

    __slots__ = ()


class EndLease(OwnershipAction):
    """End the lease, because another write has replaced the shard's row."""

    __slots__ = ()


class DiscardClaim(OwnershipAction):
    """Discard the lease and all unwritten rows."""

    __slots__ = ()


class RecordOutage(OwnershipAction):
    """Record that the table service does not answer."""

    __slots__ = ()


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


class LeaseExpired(OwnershipGuard):
    """Check whether the row is absent, names no owner, or outlived the lease unchanged.

    With resumes set, an entry does not wait for the lease of its former process.
    """

    __slots__ = ()


class RowsRejected(OwnershipGuard):
    """Check whether the current transaction can't succeed with the rows it has."""

    __slots__ = ()


class Superseded(OwnershipGuard):
    """Check whether another write has replaced the row since the committed one."""

    __slots__ = ()


class ShardRowRejected(OwnershipGuard):
    """Check whether the shard's row can't be written, even alone."""

    __slots__ = ()


class LeaseHeld(OwnershipGuard):
    """Check whether the last confirmed lease has not ended."""

    __slots__ = ()


class OwnOperation(OwnershipGuard):
    """Check whether this entry's last transaction wrote the row."""

    __slots__ = ()


def ownership_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the ownership state chart bound to its actions and guards."""
    return catalogue.bind(
        "ownership",
        actions=OwnershipAction.__subclasses__(),
        guards=OwnershipGuard.__subclasses__(),
    )


@holds.register
def _(guard: LeaseExpired) -> bool:
    state, message = guard.state, guard.message
    if not isinstance(message, ShardRowRead):
        return False
    if message.row is None:
        return True
    if message.row.value.get("schema", 0) > state.schema:
        return False
    owner = message.row.value.get("owner")
    if not owner or (state.resumes and owner == state.entry_id):
        return True
    unchanged = state.observed is not None and (
        state.observed.version == message.row.version
    )
    steady = guard.now - state.last_read <= OBSERVATION_GAP
    waited = guard.now - state.observed_since
    return unchanged and steady and waited > state.lease_time * (1 + CLOCK_DRIFT)


@holds.register
def _(guard: OwnOperation) -> bool:
    state, message = guard.state, guard.message
    if not isinstance(message, ShardRowRead) or message.row is None:
        return False
    if state.in_flight is None:
        return message.row.version == state.version
    return message.row.operation_id == state.in_flight.operation_id


@perform.register
def _(action: RecordVersion) -> list[Command]:
    state, message = action.state, action.message
    if not isinstance(message, ShardRowRead) or message.row is None:
        return []
    same = state.observed is not None and state.observed.version == message.row.version
    steady = action.now - state.last_read <= OBSERVATION_GAP
    if not (same and steady):
        state.observed_since = action.now
    state.observed = message.row
    state.last_read = action.now
    return []


@perform.register
def _(action: RestartObservation) -> list[Command]:
    action.state.observed = None
    action.state.observed_since = inf
    return []


@perform.register
def _(action: ReadRow) -> list[Command]:
    state = action.state
    return [ReadRows(read_id=read_id(state), prefix=state.key)]


@perform.register
def _(action: Claim) -> list[Command]:
    state, message = action.state, action.message
    row = message.row if isinstance(message, ShardRowRead) else None
    state.version = row.version if row else ABSENT
    state.lease.epoch = int(row.value["epoch"]) + 1 if row else 1
    fields = {
        "shard": state.shard,
        "epoch": state.lease.epoch,
        "former": row.value.get("owner", "") if row else "",
        "unchanged": round(max(action.now - state.observed_since, 0.0), 3),
    }
    log = WriteLog(number=SHARD_CLAIMED.number, fields=fields)
    return [log, *_send(state, [], action.now)]


@perform.register
def _(action: AcceptCommit) -> list[Command]:
    message = action.message
    if not isinstance(message, Committed):
        return []
    return _accept(action.state, message.versions[action.state.key])


@holds.register
def _(guard: Superseded) -> bool:
    message = guard.message
    if not isinstance(message, Committed):
        return False
    return message.versions[guard.state.key] == SUPERSEDED


@perform.register
def _(action: EndLease) -> list[Command]:
    _end_lease(action.state)
    return []


@perform.register
def _(action: AcceptRow) -> list[Command]:
    message = action.message
    if not isinstance(message, ShardRowRead) or message.row is None:
        return []
    return _accept(action.state, message.row.version)


@perform.register
def _(action: NotifyAcquired) -> list[Command]:
    state = action.state
    acquired = ShardAcquired(
        epoch=state.lease.epoch, claim_time=action.now - state.first_sent
    )
    return [NotifyScheduler(message=acquired)]


@perform.register
def _(action: NotifyLost) -> list[Command]:
    return [NotifyScheduler(message=ShardLost())]


@perform.register
def _(action: DiscardClaim) -> list[Command]:
    state = action.state
    _end_lease(state)
    state.in_flight = state.observed = None
    state.in_flight_rows, state.pending, state.refused = [], [], []
    state.sent_alone = 0
    state.observed_since = inf
    return []


@perform.register
def _(action: RecordOutage) -> list[Command]:
    action.state.lease.outage = True
    return []


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


@holds.register
def _(guard: LeaseHeld) -> bool:
    return guard.state.lease.may_start(guard.now)


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
    return _send(state, [], action.now)


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
    return _send(state, _take_batch(state), action.now)


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


def _send(state: Ownership, rows: list[WriteRow], now: float) -> list[Command]:
    shard_row = {
        "schema": state.schema,
        "owner": "" if state.releasing else state.entry_id,
        "epoch": state.lease.epoch,
        "lease": state.lease_time,
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


def _end_lease(state: Ownership) -> None:
    state.lease.held_until = state.lease.grace_until = -inf


def _accept(state: Ownership, version: int) -> list[Command]:
    rows, state.in_flight, state.in_flight_rows = state.in_flight_rows, None, []
    state.version = version
    state.lease.outage = False
    # The lease starts when the write was first sent, before the service applied it.
    state.lease.held_until = state.first_sent + state.lease_time
    state.lease.grace_until = state.first_sent + OUTAGE_GRACE
    return [
        NotifyScheduler(message=RowCommitted(key=r.key, number=r.number)) for r in rows
    ]
