"""Decide which entry instance owns a shard, and fence the owner's writes.

The shard's row in the table service names the owner and its epoch. The owner renews
its lease by rewriting the row, and every write of the owner depends on the row's
version. The epoch increases with each owner, so that agents reject the commands of a
former owner.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

from ..action import Action, Guard
from ..chart import Lifecycle
from ..command import Command
from ..message import Message
from ..storage.store import (
    ABSENT,
    Committed,
    Conflicted,
    Row,
    RowsRead,
    StoreResult,
    SUPERSEDED,
    Transaction,
)

SHARD_LEASE = 6.0
SHARD_RENEWAL_INTERVAL = 2.0
"""Length of the shard lease, and interval between its renewals, in seconds."""

CLOCK_DRIFT = 0.02
"""Largest relative error of one clock against another."""

OUTAGE_GRACE = 600.0
"""Seconds after its last confirmed lease in which an owner that can't reach the
table service still renews tasks that run. A new owner waits as long for agents
that it can't reach, because the former owner may still renew their tasks."""

OBSERVATION_GAP = 3.0
"""Seconds without a read after which an observer waits for a full lease again."""

LEASE_STRETCH_LIMIT = 2.0
"""Factor on the lease up to which observers wait for an owner with a slow store.

An owner whose transactions take longer than the lease can't renew within it, so that
all entries would take the shard from each other without end. A takeover takes longer
then, and has to end within the recovery bound of 12 s.
"""

RESEND_DELAY = 1.0
"""Seconds after which an unanswered transaction is sent again."""

BATCH_LIMIT = 50
"""Maximum number of job rows in one transaction."""

BATCH_LIMIT_BYTES = 512 * 1024
"""Maximum size of the rows in one transaction; the table service takes 1 MB.

The rows grow by a third when they are encoded for the call.
"""

SHARD_SCHEMA = 1
"""Version of a shard's rows; a shard with a newer version is never claimed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTick(Message):
    """Report to the ownership component that time has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseOwnership(Message):
    """Ask the owner to release the shard because its process stops."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardRowRead(Message):
    """Deliver the shard's row, or None if it doesn't exist."""

    row: Row | None


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteRow(Command):
    """Write a row on condition that this entry still owns the shard.

    A value of None deletes the row. number identifies the write in RowCommitted. size
    is that of the value in bytes once the row is queued.
    """

    key: str
    value: dict[str, Any] | None
    number: int = 0
    size: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class RowCommitted(Message):
    """Report that a fenced write took effect."""

    key: str
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RowRejected(Message):
    """Report that a fenced write can never take effect, and was left out."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardAcquired(Message):
    """Report that this entry owns the shard from now on.

    claim_time is the time in seconds from the first sending of the claim until its
    answer.
    """

    epoch: int
    claim_time: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipConfirmed(Message):
    """Report that the store has just confirmed the transaction in flight.

    It is sent before the next transaction, which takes the rows that it causes.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLost(Message):
    """Report that this entry no longer owns the shard."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotifyScheduler(Command):
    """Pass a message to the scheduler of the same shard."""

    message: Message


@dataclass(slots=True)
class ShardLease:
    """Represent the owner's lease of the shard, on the owner's clock.

    held_until is the end of the last confirmed lease. During an outage of the table
    service the owner renews running tasks until grace_until. recent_until is the time
    until which the last confirmation is recent: the next transaction is due by then.
    """

    epoch: int = 0
    held_until: float = -inf
    grace_until: float = -inf
    recent_until: float = -inf
    outage: bool = False

    def may_start(self, now: float) -> bool:
        """Return whether the owner may reserve and start tasks."""
        return now < self.held_until

    def may_plan(self, now: float) -> bool:
        """Return whether decisions that only take effect as fenced writes may be made.

        If each transaction takes longer than the lease, a confirmation comes when the
        lease is over. It still shows that this entry was the owner just now.
        """
        return self.may_start(now) or now < self.recent_until

    def may_renew(self, now: float) -> bool:
        """Return whether the owner may renew tasks that run."""
        return self.may_start(now) or (self.outage and now < self.grace_until)


@dataclass(slots=True)
class Ownership:
    """Represent one entry's claim to one shard and its fenced writes.

    At most one transaction is in flight. It always rewrites the shard's row, so the
    row's operation id shows whether the last transaction took effect. With resumes
    set, a restarted entry claims a row that names this entry without waiting for the
    lease. That is safe only if all effects of an owner are writes on condition of
    the row's version.

    observed is the row as an entry that doesn't own the shard last read it, and
    observed_since the time since which the row has stayed the same. in_flight_rows and
    pending are the rows in the current transaction and those that wait for one. The
    next sent_alone of these get a transaction each, to find the one that the table
    service rejects. refused are the rows of a rejected transaction while the shard's
    row is sent alone, to find out whether they are at fault, and refusal says why it
    was rejected. schema is the version of the rows that this entry writes. answer_time
    is the time in seconds until the last transaction was answered.
    """

    entry_id: str
    shard: str
    lifecycle: Lifecycle
    new_operation_id: Callable[[], str]
    lease: ShardLease = field(default_factory=ShardLease)
    version: int = ABSENT
    observed: Row | None = None
    observed_since: float = inf
    last_read: float = -inf
    in_flight: Transaction | None = None
    in_flight_rows: list[WriteRow] = field(default_factory=list)
    first_sent: float = -inf
    last_sent: float = -inf
    pending: list[WriteRow] = field(default_factory=list)
    sent_alone: int = 0
    refused: list[WriteRow] = field(default_factory=list)
    refusal: str = ""
    schema: int = SHARD_SCHEMA
    lease_time: float = SHARD_LEASE
    renewal_interval: float = SHARD_RENEWAL_INTERVAL
    releasing: bool = False
    resumes: bool = False
    answer_time: float = 0.0

    @property
    def announced_lease(self) -> float:
        """Return the seconds without a change for which others leave the row alone."""
        longest = self.lease_time * LEASE_STRETCH_LIMIT
        renewed_after = self.answer_time + self.renewal_interval
        return max(self.lease_time, min(renewed_after, longest))

    @property
    def key(self) -> str:
        """Return the key of the shard's row."""
        return f"shard/{self.shard}"


class OwnershipAction(Action[Ownership, Ownership]):
    """Define the base class of the actions in the ownership state chart."""

    __slots__ = ()


class OwnershipGuard(Guard[Ownership, Ownership]):
    """Define the base class of the guards in the ownership state chart."""

    __slots__ = ()


def decide(message: Message, state: Ownership, now: float) -> list[Command]:
    """Return the commands that a message to the ownership component causes."""
    if state.lifecycle.final:
        return []
    event = _translate(message, state)
    if confirms(message, state) or isinstance(event, Conflicted):
        state.answer_time = now - state.first_sent
    return state.lifecycle.handle(event, state, state, now) if event else []


def confirms(message: Message, state: Ownership) -> bool:
    """Return whether a message shows that the owner's transaction took effect last."""
    if state.in_flight is None or state.releasing:
        return False
    operation_id = state.in_flight.operation_id
    if isinstance(message, RowsRead):
        own = any(
            row.key == state.key and row.operation_id == operation_id
            for row in message.rows
        )
        return own and message.read_id == read_id(state)
    if isinstance(message, Committed):
        own = message.operation_id == operation_id
        return own and message.versions[state.key] != SUPERSEDED
    return False


def _translate(message: Message, state: Ownership) -> Message | None:
    if isinstance(message, RowsRead):
        # A read sent for an earlier transaction says nothing about the current one.
        if message.read_id != read_id(state):
            return None
        rows = [row for row in message.rows if row.key == state.key]
        return ShardRowRead(row=rows[0] if rows else None)
    if isinstance(message, StoreResult):
        expected = state.in_flight.operation_id if state.in_flight else ""
        return message if message.operation_id == expected else None
    return message


def read_id(state: Ownership) -> str:
    """Return the id of a read of the shard's row during the current transaction."""
    operation_id = state.in_flight.operation_id if state.in_flight else ""
    return f"{state.key}:{operation_id}"
