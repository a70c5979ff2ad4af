"""Define the ownership state chart, and its actions on the claim and the lease.

Each entry instance runs the chart for each shard that it may own.
"""

from __future__ import annotations

from math import inf

from ..action import holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import Command, ReadRows, WriteLog
from ..log_event import SHARD_CLAIMED
from ..storage.store import ABSENT, Committed, Row, SUPERSEDED
from .ownership import (
    CLOCK_DRIFT,
    LEASE_STRETCH_LIMIT,
    NotifyScheduler,
    OBSERVATION_GAP,
    OUTAGE_GRACE,
    Ownership,
    OwnershipAction,
    OwnershipGuard,
    read_id,
    RowCommitted,
    ShardAcquired,
    ShardLost,
    ShardRowRead,
)
from .ownership_write import send


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


class LeaseExpired(OwnershipGuard):
    """Check whether the row is absent, names no owner, or outlived the lease unchanged.

    With resumes set, an entry does not wait for the lease of its former process.
    """

    __slots__ = ()


class Superseded(OwnershipGuard):
    """Check whether another write has replaced the row since the committed one."""

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
    return unchanged and steady and waited > _lease_of(message.row, state)


def _lease_of(row: Row, state: Ownership) -> float:
    """Return the seconds for which the row has to be unchanged, on any clock."""
    announced = row.value.get("lease")
    lease = announced if isinstance(announced, (int, float)) else state.lease_time
    longest = state.lease_time * LEASE_STRETCH_LIMIT
    # In this order, a value that is not a number counts as the usual lease.
    return min(max(state.lease_time, lease), longest) * (1 + CLOCK_DRIFT)


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
    return [log, *send(state, [], action.now)]


@perform.register
def _(action: AcceptCommit) -> list[Command]:
    message = action.message
    if not isinstance(message, Committed):
        return []
    return _accept(action.state, message.versions[action.state.key], action.now)


@holds.register
def _(guard: Superseded) -> bool:
    message = guard.message
    if not isinstance(message, Committed):
        return False
    return message.versions[guard.state.key] == SUPERSEDED


@perform.register
def _(action: EndLease) -> list[Command]:
    _end_lease(action.state, action.now)
    return []


@perform.register
def _(action: AcceptRow) -> list[Command]:
    message = action.message
    if not isinstance(message, ShardRowRead) or message.row is None:
        return []
    return _accept(action.state, message.row.version, action.now)


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
    _end_lease(state, action.now)
    state.in_flight = state.observed = None
    state.in_flight_rows, state.pending, state.refused = [], [], []
    state.sent_alone = 0
    state.observed_since = inf
    return []


@perform.register
def _(action: RecordOutage) -> list[Command]:
    action.state.lease.outage = True
    return []


@holds.register
def _(guard: LeaseHeld) -> bool:
    return guard.state.lease.may_start(guard.now)


def _end_lease(state: Ownership, now: float) -> None:
    lease = state.lease
    lease.held_until = min(lease.held_until, now)
    lease.grace_until = min(lease.grace_until, now)
    lease.recent_until = min(lease.recent_until, now)


def _accept(state: Ownership, version: int, now: float) -> list[Command]:
    rows, state.in_flight, state.in_flight_rows = state.in_flight_rows, None, []
    state.version = version
    state.lease.outage = False
    # The lease starts when the write was first sent, before the service applied it.
    state.lease.held_until = state.first_sent + state.lease_time
    state.lease.grace_until = state.first_sent + OUTAGE_GRACE
    state.lease.recent_until = now + state.renewal_interval
    return [
        NotifyScheduler(message=RowCommitted(key=r.key, number=r.number)) for r in rows
    ]
