"""Test that a row which the table service rejects does not hold up other writes."""

from __future__ import annotations

from types import SimpleNamespace

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import Command, Transact
from wasabispur_core.jobs.job import decide as decide_jobs
from wasabispur_core.log_event import JOB_NOT_STORED
from wasabispur_core.message import Message
from wasabispur_core.sharding.ownership import (
    BATCH_LIMIT_BYTES,
    decide,
    NotifyScheduler,
    Ownership,
    OwnershipTick,
    RowRejected,
    ShardRowRead,
    WriteRow,
)
from wasabispur_core.sharding.ownership_action import ownership_chart
from wasabispur_core.storage.store import (
    Committed,
    ROW_LIMIT_BYTES,
    StoreUnavailable,
    Transaction,
)
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.rows import unit_page_prefix

from .world import started_world, tasks

LARGE = {"text": "x" * (ROW_LIMIT_BYTES - 100)}


class Owner:
    """Represent the ownership of an owner, and a table that rejects some keys."""

    def __init__(self) -> None:
        numbers = iter(range(10_000))
        chart = ownership_chart(ChartCatalogue())
        self.state = Ownership("e", "main", chart.start(), lambda: f"op{next(numbers)}")
        self.rejected: set[str] = set()
        self.stored: list[str] = []
        self.sizes: list[int] = []
        self.notices: list[Message] = []
        self.now = 0.0
        self.run(decide(ShardRowRead(row=None), self.state, self.now))

    def run(self, commands: list[Command]) -> None:
        """Carry out commands, and those that the results cause."""
        for command in commands:
            if isinstance(command, Transact):
                result = self.apply(command.transaction)
                self.run(decide(result, self.state, self.now))
            elif isinstance(command, NotifyScheduler):
                self.notices.append(command.message)

    def apply(self, transaction: Transaction) -> Committed | StoreUnavailable:
        """Apply a transaction, unless one of its rows is rejected."""
        operation_id = transaction.operation_id
        keys = [write.key for write in transaction.writes]
        if self.rejected.intersection(keys):
            return StoreUnavailable(
                operation_id=operation_id, reason="400", uncertain=False, permanent=True
            )
        self.stored += keys
        self.sizes.append(sum(write.size or 0 for write in transaction.writes))
        return Committed(operation_id=operation_id, versions=dict.fromkeys(keys, 1))

    def write(self, *rows: WriteRow) -> None:
        """Queue rows behind a transaction in progress, and let them be written."""
        self.state.in_flight = Transaction(
            operation_id="busy", conditions=(), writes=()
        )
        for row in rows:
            self.run(decide(row, self.state, self.now))
        done = Committed(operation_id="busy", versions={self.state.key: 1})
        self.run(decide(done, self.state, self.now))

    def tick(self) -> None:
        """Let time pass until the next renewal."""
        self.now += 10.0
        self.run(decide(OwnershipTick(), self.state, self.now))


def rejected_keys(owner: Owner) -> list[str]:
    """Return the keys of the rows that the scheduler was told are left out."""
    return [one.key for one in owner.notices if isinstance(one, RowRejected)]


def rows(*keys: str) -> list[WriteRow]:
    """Return writes of small rows."""
    return [WriteRow(key=key, value={"a": 1}) for key in keys]


def test_rejected_row_does_not_hold_up_the_others_and_the_lease():
    """Guard against a transaction that is sent again forever, as it can't succeed."""
    owner = Owner()
    owner.rejected = {"b"}
    owner.write(*rows("a", "b", "c"))
    assert [key for key in owner.stored if key in "abc"] == ["a", "c"]
    assert rejected_keys(owner) == ["b"]
    renewals = owner.stored.count(owner.state.key)
    owner.tick()
    assert owner.stored.count(owner.state.key) == renewals + 1
    owner.write(*rows("d", "e"))
    assert owner.stored[-2:] == ["d", "e"]


def test_row_that_is_too_large_is_left_out():
    """Guard against a row over the limit that is sent with others."""
    owner = Owner()
    large = WriteRow(key="large", value={"text": "x" * ROW_LIMIT_BYTES})
    owner.write(*rows("a"), large, *rows("c"))
    assert [key for key in owner.stored if key != owner.state.key] == ["a", "c"]
    assert rejected_keys(owner) == ["large"]


def test_transaction_stays_under_the_limit_of_the_table_service():
    """Guard against a transaction that is rejected because of its size."""
    owner = Owner()
    owner.write(*(WriteRow(key=f"k{n}", value=LARGE) for n in range(30)))
    assert {f"k{n}" for n in range(30)} <= set(owner.stored)
    assert max(owner.sizes) <= BATCH_LIMIT_BYTES


def test_scheduler_of_gang_jobs_goes_on_without_a_rejected_row():
    """Guard against an error that drops the commands for the other rows."""
    state = SimpleNamespace()
    assert decide_jobs(RowRejected(key="job/d/j", reason="400"), state, 0.0) == []


def test_job_whose_page_is_rejected_fails_alone():
    """Guard against a job that can't be stored and stops the scheduling of all."""
    world = started_world()
    apply = world.store.apply
    job = world.submit(tasks(2), duration=1.0)

    def reject(transaction: Transaction):
        if any(
            write.key.startswith(f"{unit_page_prefix()}{job}")
            for write in transaction.writes
        ):
            return StoreUnavailable(
                operation_id=transaction.operation_id,
                reason="400",
                uncertain=False,
                permanent=True,
            )
        return apply(transaction)

    world.store.apply = reject
    world.advance(1)
    other = world.submit(tasks(2), duration=1.0)
    world.advance(4)
    assert world.state_of(other).job_state is JobState.COMPLETED
    assert world.state_of(job).job_state is JobState.FAILED
    logs = [number for entry in world.entries for number in entry.logs]
    assert JOB_NOT_STORED.number in logs
