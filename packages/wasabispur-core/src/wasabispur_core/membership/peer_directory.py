"""Register an entry instance in the table service, and choose the peers it dials.

An entry instance (a front-end process), or entry for short, writes a row with a lease
and reads the rows of the others. A row that is not written again within its lease has
expired.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from functools import singledispatch
from random import Random
from typing import Any

from ..command import Command, ReadRows, SetTimer, Transact, WriteLog
from ..error import StoreError, UnhandledMessageError
from ..log_event import ENTRY_ROW_REFUSED
from ..message import Message
from ..storage.store import (
    Committed,
    Condition,
    Conflicted,
    Row,
    RowsRead,
    RowsUnavailable,
    StoreUnavailable,
    Transaction,
    Write,
)

ENTRY_PREFIX = "entry/"
ENTRY_SCHEMA = 1

ENTRY_LEASE = 30.0
"""Seconds for which the row of an entry is valid after a write."""

WRITE_INTERVAL = 10.0
"""Seconds between two writes of an entry's own row."""

READ_INTERVAL = 2.0
"""Longest time in seconds between two reads of all entries' rows."""

READ_JITTER = 0.2
"""Share of the read interval by which a read may come earlier."""

DRIFT_MARGIN = 0.02
"""Share by which the clock of another process may run slower."""

REMOVAL_LEASES = 10
"""Number of lease durations without a write after which a row is deleted."""

ENTRIES_READ_ID = "entries"
"""Id of the reads of all entries' rows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryRecord:
    """Describe the row of an entry; the lease is in seconds."""

    schema: int = ENTRY_SCHEMA
    entry_id: str
    address: str
    region: str
    data_centre: str
    incarnation: int
    lease: float = ENTRY_LEASE


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteDue(Message):
    """Report that the next write of the own row is due."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadDue(Message):
    """Report that the next read of all entries' rows is due."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawEntry(Message):
    """Request the deletion of the own row before a planned stop."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DialPeer(Command):
    """Keep a stream to a peer open."""

    record: EntryRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class DropPeer(Command):
    """Stop dialling a peer whose row was deleted or has expired."""

    entry_id: str


@dataclass(slots=True)
class ObservedEntry:
    """Describe a row of another entry and when its version was first read.

    first_seen is in monotonic seconds of this process.
    """

    record: EntryRecord
    version: int
    first_seen: float


@dataclass(slots=True)
class PeerDirectoryState:
    """Represent the own row of an entry and the rows of its peers.

    decode_record raises StoreError for a row that can't be decoded.
    """

    own: EntryRecord
    decode_record: Callable[[dict[str, Any]], EntryRecord]
    random: Random
    writes: int = 0
    observed: dict[str, ObservedEntry] = field(default_factory=dict)
    dialled: dict[str, EntryRecord] = field(default_factory=dict)
    withdrawn: bool = False


@singledispatch
def decide(message: Message, state: PeerDirectoryState, now: float) -> list[Command]:
    """Return the commands that a message to the directory component causes."""
    raise UnhandledMessageError(
        f"the peer directory does not handle {type(message).__name__}",
        "send the message to the component that handles it",
    )


@decide.register
def _(message: WriteDue, state: PeerDirectoryState, now: float) -> list[Command]:
    if state.withdrawn:
        return []
    timer = SetTimer(timer_id="write", delay=WRITE_INTERVAL, message=WriteDue())
    return [timer, _write(state, asdict(state.own))]


@decide.register
def _(message: WithdrawEntry, state: PeerDirectoryState, now: float) -> list[Command]:
    state.withdrawn = True
    return [_write(state, None)]


@decide.register
def _(message: ReadDue, state: PeerDirectoryState, now: float) -> list[Command]:
    delay = READ_INTERVAL * (1 - READ_JITTER * state.random.random())
    return [
        SetTimer(timer_id="read", delay=delay, message=ReadDue()),
        ReadRows(read_id=ENTRIES_READ_ID, prefix=ENTRY_PREFIX),
    ]


@decide.register(Committed)
@decide.register(Conflicted)
@decide.register(StoreUnavailable)
@decide.register(RowsUnavailable)
def _(
    message: Committed | Conflicted | StoreUnavailable | RowsUnavailable,
    state: PeerDirectoryState,
    now: float,
) -> list[Command]:
    # A failed call is not repeated: rows are read and written at each interval.
    return []


@decide.register
def _(message: RowsRead, state: PeerDirectoryState, now: float) -> list[Command]:
    commands: list[Command] = []
    present: set[str] = set()
    for row in message.rows:
        try:
            record = state.decode_record(row.value)
        except StoreError as error:
            fields = {"key": row.key, "error": str(error)}
            commands.append(WriteLog(number=ENTRY_ROW_REFUSED.number, fields=fields))
            continue
        if record.entry_id == state.own.entry_id:
            continue
        present.add(record.entry_id)
        commands += _apply_row(row, record, state, now)
    for entry_id in set(state.observed) - present:
        del state.observed[entry_id]
    for entry_id in set(state.dialled) - present:
        commands += _drop(entry_id, state)
    return commands


def _apply_row(
    row: Row, record: EntryRecord, state: PeerDirectoryState, now: float
) -> list[Command]:
    observed = state.observed.get(record.entry_id)
    if observed is None or observed.version != row.version:
        observed = ObservedEntry(record, row.version, now)
        state.observed[record.entry_id] = observed
    unchanged = now - observed.first_seen
    lease = record.lease * (1 + DRIFT_MARGIN)
    if unchanged > lease * REMOVAL_LEASES:
        return _remove(row, record, state)
    if unchanged > lease:
        return _drop(record.entry_id, state)
    # Two entries share one stream, which the entry whose id sorts later opens.
    if state.own.entry_id <= record.entry_id:
        return []
    known = state.dialled.get(record.entry_id)
    state.dialled[record.entry_id] = record
    return [] if known == record else [DialPeer(record=record)]


def _drop(entry_id: str, state: PeerDirectoryState) -> list[Command]:
    if state.dialled.pop(entry_id, None) is None:
        return []
    return [DropPeer(entry_id=entry_id)]


def _remove(row: Row, record: EntryRecord, state: PeerDirectoryState) -> list[Command]:
    state.observed.pop(record.entry_id, None)
    transaction = Transaction(
        operation_id=f"{state.own.entry_id}/remove/{record.entry_id}/{row.version}",
        conditions=(Condition(key=row.key, version=row.version),),
        writes=(Write(key=row.key, value=None),),
    )
    return [Transact(transaction=transaction)]


def _write(state: PeerDirectoryState, value: dict[str, Any] | None) -> Transact:
    state.writes += 1
    own = state.own
    transaction = Transaction(
        operation_id=f"{own.entry_id}/{own.incarnation}/{state.writes}",
        conditions=(),
        writes=(Write(key=ENTRY_PREFIX + own.entry_id, value=value),),
    )
    return Transact(transaction=transaction)
