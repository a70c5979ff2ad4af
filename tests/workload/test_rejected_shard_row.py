"""Test an owner whose transactions are refused although its rows are sound."""

from __future__ import annotations

from wasabispur_core.command import Command, ReadRows, WriteLog
from wasabispur_core.log_event import JOB_NOT_STORED, ROW_LEFT_OUT, SHARD_ROW_REJECTED
from wasabispur_core.sharding.ownership import (
    decide,
    NotifyScheduler,
    OwnershipTick,
    read_id,
    ShardLost,
)
from wasabispur_core.storage.store import Row, RowsRead, StoreUnavailable, Transaction
from wasabispur_standins.simulated_store import rejected

from .test_rejected_row import Owner, rejected_keys, rows
from .world import COMPLETED, started_world, tasks


class RecordingOwner(Owner):
    """Record also the other commands of the owner."""

    def __init__(self) -> None:
        self.commands: list[Command] = []
        super().__init__()

    def run(self, commands: list[Command]) -> None:
        """Record the commands and carry them out."""
        self.commands += commands
        super().run(commands)

    def count(self, number: int) -> int:
        """Return how often an event was logged."""
        logs = [one for one in self.commands if isinstance(one, WriteLog)]
        return len([one for one in logs if one.number == number])


def refused_owner() -> RecordingOwner:
    """Return an owner whose shard row the store refuses, with three rows to write."""
    owner = RecordingOwner()
    owner.rejected = {owner.state.key}
    owner.write(*rows("a", "b", "c"))
    return owner


def test_no_row_is_left_out_if_the_shard_row_alone_is_refused():
    """Guard against jobs that fail because the store refuses the transaction itself.

    An owner left out 1,338 rows and failed 46 jobs, while the fault was the version of
    its own row.
    """
    owner = refused_owner()
    assert rejected_keys(owner) == []
    assert owner.count(ROW_LEFT_OUT.number) == 0
    assert owner.count(SHARD_ROW_REJECTED.number) == 1
    assert any(isinstance(one, ReadRows) for one in owner.commands)


def test_owner_whose_shard_row_is_refused_gives_the_shard_up_after_its_lease():
    """Guard against an owner that sends a transaction forever that can't succeed."""
    owner = refused_owner()
    state = owner.state
    row = Row(key=state.key, version=state.version, operation_id="op0", value={})
    read = RowsRead(read_id=read_id(state), rows=(row,))
    owner.run(decide(read, state, 1.0))
    held_until = state.lease.held_until
    owner.run(decide(OwnershipTick(), state, held_until - 0.1))
    assert ShardLost() not in owner.notices
    assert state.lease.held_until == held_until
    owner.run(decide(OwnershipTick(), state, held_until + 0.1))
    assert ShardLost() in owner.notices
    assert state.lifecycle.state == "observing"
    assert not state.pending
    assert not state.refused


def test_owner_that_finds_another_in_its_row_gives_the_shard_up_at_once():
    """Guard against a former owner that waits for its lease beside the next one."""
    owner = refused_owner()
    state = owner.state
    row = Row(key=state.key, version=9, operation_id="other", value={})
    commands = decide(RowsRead(read_id=read_id(state), rows=(row,)), state, 1.0)
    assert NotifyScheduler(message=ShardLost()) in commands


def test_row_is_left_out_only_after_the_shard_row_alone_was_stored():
    """Guard against a row that is taken for faulty while nothing can be stored.

    The store begins to refuse everything between the first refusal and that of the row.
    """
    owner = RecordingOwner()
    owner.rejected = {"b"}
    apply = owner.apply
    alone: list[str] = []

    def refuse_after_row(transaction: Transaction):
        result = apply(transaction)
        keys = [write.key for write in transaction.writes]
        if keys == [owner.state.key, "b"]:
            alone.append("b")
            owner.rejected.add(owner.state.key)
        return result

    owner.apply = refuse_after_row
    owner.write(*rows("a", "b", "c"))
    assert alone == ["b"]
    assert rejected_keys(owner) == []


def test_claim_that_is_refused_is_not_sent_again_forever():
    """Guard against an entry that neither owns nor observes the shard."""
    state = Owner().state
    state.lifecycle.state = "claiming"
    decide(OwnershipTick(), state, 0.0)
    state.in_flight = Transaction(operation_id="claim", conditions=(), writes=())
    refusal = StoreUnavailable(
        operation_id="claim", reason="400", uncertain=False, permanent=True
    )
    commands = decide(refusal, state, 1.0)
    assert [one.number for one in commands if isinstance(one, WriteLog)] == [
        SHARD_ROW_REJECTED.number
    ]
    assert state.lifecycle.state == "observing"
    assert state.in_flight is None


def test_jobs_survive_a_store_that_refuses_all_writes_of_the_owner():
    """Guard against jobs that are ended by a fault that isn't theirs."""
    world = started_world()
    former = world.owner()
    jobs = [world.submit(tasks(4), duration=2.0) for _ in range(2)]
    world.advance(0.5)
    apply = world.store.apply

    def refuse(transaction: Transaction):
        if any(write.key == "shard/main" for write in transaction.writes):
            return rejected(transaction, "400")
        return apply(transaction)

    world.store.apply = refuse
    world.advance(5)
    assert not former.fleet.owning
    world.store.apply = apply
    world.advance(15)
    for entry in world.entries:
        assert ROW_LEFT_OUT.number not in entry.logs
        assert JOB_NOT_STORED.number not in entry.logs
        assert entry.logs.count(SHARD_ROW_REJECTED.number) <= 3
    assert all(world.state_of(job).job_state is COMPLETED for job in jobs)
