"""Test how entries register and discover each other."""

from __future__ import annotations

from dataclasses import asdict
from random import Random

import pytest

from wasabispur.entry_actors import read_entry
from wasabispur_core.command import Transact, WriteLog
from wasabispur_core.error import StoreError
from wasabispur_core.membership.peer_directory import (
    decide,
    DialPeer,
    DRIFT_MARGIN,
    DropPeer,
    ENTRIES_READ_ID,
    ENTRY_LEASE,
    EntryRecord,
    PeerDirectoryState,
    REMOVAL_LEASES,
    WithdrawEntry,
    WriteDue,
)
from wasabispur_core.storage.store import Row, RowsRead, RowsUnavailable

LEASE = ENTRY_LEASE * (1 + DRIFT_MARGIN)


def record(entry_id: str, incarnation: int = 1, port: int = 1) -> EntryRecord:
    return EntryRecord(
        entry_id=entry_id,
        address=f"127.0.0.1:{port}",
        region="atlanta",
        data_centre="atl-1",
        incarnation=incarnation,
    )


def new_state(entry_id: str = "entry-b") -> PeerDirectoryState:
    return PeerDirectoryState(record(entry_id), read_entry, Random(1))


def rows(*records: EntryRecord, version: int = 1) -> RowsRead:
    return RowsRead(
        read_id=ENTRIES_READ_ID,
        rows=tuple(
            Row(
                key=f"entry/{r.entry_id}",
                version=version,
                operation_id="w",
                value=asdict(r),
            )
            for r in records
        ),
    )


def test_entry_whose_id_sorts_later_dials():
    """Guard against two streams, or none, between two entries."""
    first, second = record("entry-a"), record("entry-b")
    assert decide(rows(first, second), new_state("entry-b"), 0.0) == [
        DialPeer(record=first)
    ]
    assert decide(rows(first, second), new_state("entry-a"), 0.0) == []


def test_moved_peer_is_dialled_at_its_new_address():
    """Guard against dialling the address of a replaced instance forever."""
    state = new_state()
    decide(rows(record("entry-a")), state, 0.0)
    moved = record("entry-a", incarnation=2, port=2)
    assert decide(rows(moved, version=2), state, 1.0) == [DialPeer(record=moved)]


def test_peer_is_dropped_when_its_lease_ends_on_the_own_clock():
    """Guard against links to entries that no longer exist."""
    state, peer = new_state(), record("entry-a")
    decide(rows(peer), state, 0.0)
    assert decide(rows(peer), state, LEASE) == []
    assert decide(rows(peer), state, LEASE + 1) == [DropPeer(entry_id="entry-a")]
    assert decide(rows(peer, version=2), state, LEASE + 2) == [DialPeer(record=peer)]


def test_row_of_a_dead_entry_is_deleted_only_if_unchanged():
    """Guard against rows that accumulate, and against deleting a live entry's row."""
    state, peer = new_state(), record("entry-a")
    decide(rows(peer, version=7), state, 0.0)
    (command,) = decide(rows(peer, version=7), state, LEASE * REMOVAL_LEASES + 1)
    assert isinstance(command, Transact)
    assert command.transaction.conditions[0].version == 7
    assert command.transaction.writes[0].value is None


def test_outage_of_the_table_service_keeps_the_links():
    """Guard against entries that disconnect when the table service is down."""
    state = new_state()
    decide(rows(record("entry-a")), state, 0.0)
    failed = RowsUnavailable(read_id=ENTRIES_READ_ID, reason="outage")
    assert decide(failed, state, LEASE * 100) == []
    assert set(state.dialled) == {"entry-a"}


def test_withdrawn_entry_does_not_write_its_row_again():
    """Guard against a stopped entry that writes its row again."""
    state = new_state()
    (command,) = decide(WithdrawEntry(), state, 0.0)
    assert isinstance(command, Transact)
    assert command.transaction.writes[0].value is None
    assert decide(WriteDue(), state, 1.0) == []


@pytest.mark.parametrize(
    "change", [{"schema": 2}, {"schema": None}, {"address": None}, {"lease": "long"}]
)
def test_unusable_row_is_logged_and_skipped(change):
    """Guard against a newer or damaged row that blocks reading the other rows."""
    state, good = new_state("entry-c"), record("entry-b")
    message = rows(record("entry-a"), good)
    damaged = Row(
        key="entry/entry-a",
        version=1,
        operation_id="w",
        value=message.rows[0].value | change,
    )
    with pytest.raises(StoreError):
        read_entry(damaged.value)
    commands = decide(
        RowsRead(read_id=ENTRIES_READ_ID, rows=(damaged, message.rows[1])), state, 0.0
    )
    assert isinstance(commands[0], WriteLog)
    assert commands[1] == DialPeer(record=good)
