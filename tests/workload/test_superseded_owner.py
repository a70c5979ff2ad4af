"""Test an owner whose transaction took effect before another claimed the shard."""

from __future__ import annotations

import pytest

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import Command, ReadRows, Transact
from wasabispur_core.log_event import JOB_NOT_STORED, ROW_LEFT_OUT
from wasabispur_core.sharding.ownership import (
    decide,
    NotifyScheduler,
    Ownership,
    OwnershipTick,
    read_id,
    ReleaseOwnership,
    ShardLost,
    ShardRowRead,
    WriteRow,
)
from wasabispur_core.sharding.ownership_action import ownership_chart
from wasabispur_core.storage.store import (
    Committed,
    Conflicted,
    Row,
    RowsRead,
    RowsUnavailable,
    SUPERSEDED,
)

from .world import COMPLETED, Entry, started_world, tasks, World

ROW = WriteRow(key="progress/main/j", value={"a": 1}, number=4)


def started() -> Ownership:
    """Return the state of an entry whose claim is in flight."""
    numbers = iter(range(1000))
    chart = ownership_chart(ChartCatalogue())
    state = Ownership("e1", "main", chart.start(), lambda: f"op{next(numbers)}")
    decide(ShardRowRead(row=None), state, 0.0)
    assert state.lifecycle.state == "claiming"
    return state


def committed(state: Ownership, version: int) -> Committed:
    """Return the answer to the transaction in flight, with the shard row's version."""
    keys = [write.key for write in state.in_flight.writes]
    versions = {**dict.fromkeys(keys, 5), state.key: version}
    return Committed(operation_id=state.in_flight.operation_id, versions=versions)


def row_of_other(state: Ownership) -> RowsRead:
    """Return an answer to the read of the shard's row, which another entry wrote."""
    value = {"owner": "e2", "epoch": 2}
    row = Row(key=state.key, version=9, operation_id="other", value=value)
    return RowsRead(read_id=read_id(state), rows=(row,))


def is_lost(commands: list[Command]) -> bool:
    """Return whether the scheduler is told that the shard is lost."""
    notices = [one.message for one in commands if isinstance(one, NotifyScheduler)]
    return ShardLost() in notices


def owner_with_row_in_flight() -> Ownership:
    """Return the state of an owner that has sent a row."""
    state = started()
    decide(committed(state, 1), state, 0.1)
    decide(ROW, state, 0.2)
    assert state.in_flight_rows == [ROW]
    return state


def test_owner_whose_row_was_replaced_reads_it_and_loses_the_shard():
    """Guard against an owner that goes on beside the next one.

    It was frozen over a transaction whose answer was lost. It took the version
    SUPERSEDED for that of its row, had every later transaction refused as malformed,
    left out 1,338 rows, failed 46 jobs and planned for 46 s beside the real owner.
    """
    state = owner_with_row_in_flight()
    commands = decide(committed(state, SUPERSEDED), state, 1.0)
    assert any(isinstance(one, ReadRows) for one in commands)
    assert not state.lease.may_start(1.0)
    assert not state.lease.may_renew(1.0)
    commands = decide(row_of_other(state), state, 1.1)
    assert is_lost(commands)
    assert state.lifecycle.state == "observing"


def test_no_condition_has_the_version_of_a_replaced_row():
    """Guard against a transaction that the store can only refuse as malformed."""
    state = owner_with_row_in_flight()
    sent = decide(committed(state, SUPERSEDED), state, 1.0)
    sent += decide(WriteRow(key="k", value={}), state, 1.1)
    sent += decide(OwnershipTick(), state, 9.0)
    versions = [
        condition.version
        for command in sent
        if isinstance(command, Transact)
        for condition in command.transaction.conditions
    ]
    assert SUPERSEDED not in versions


@pytest.mark.parametrize("answer", [SUPERSEDED, None])
def test_owner_that_can_not_read_its_row_asks_again(answer):
    """Guard against a loss that stays unnoticed because one read failed."""
    state = owner_with_row_in_flight()
    decide(committed(state, SUPERSEDED), state, 1.0)
    decide(RowsUnavailable(read_id=read_id(state), reason="503"), state, 1.1)
    sent = decide(OwnershipTick(), state, 3.0)
    assert any(isinstance(one, Transact) for one in sent)
    operation_id = state.in_flight.operation_id
    message = (
        Conflicted(operation_id=operation_id, keys=(state.key,))
        if answer is None
        else committed(state, answer)
    )
    commands = decide(message, state, 3.1)
    assert any(isinstance(one, ReadRows) for one in commands)
    assert is_lost(decide(row_of_other(state), state, 3.2))


def test_claimant_whose_claim_was_replaced_observes_again():
    """Guard against an entry that considers itself owner of another's shard."""
    state = started()
    commands = decide(committed(state, SUPERSEDED), state, 30.0)
    assert any(isinstance(one, ReadRows) for one in commands)
    assert not [one for one in commands if isinstance(one, NotifyScheduler)]
    decide(row_of_other(state), state, 30.1)
    assert state.lifecycle.state == "observing"
    assert state.in_flight is None


def test_release_that_was_followed_by_a_claim_is_a_release():
    """Guard against an entry that can't stop once another one has its shard."""
    state = started()
    decide(committed(state, 1), state, 0.1)
    decide(ReleaseOwnership(), state, 0.2)
    commands = decide(committed(state, SUPERSEDED), state, 1.0)
    assert is_lost(commands)
    assert state.lifecycle.final


def owners(world: World) -> list[Entry]:
    """Return the running entries that plan."""
    return [e for e in world.entries if e.fleet.active and e.alive and not e.paused]


@pytest.mark.parametrize("pause", [3.0, 8.0])
def test_frozen_owner_that_another_one_followed_plans_nothing(pause):
    """Guard against jobs that a former owner fails because the store refuses its rows.

    The owner is frozen right after it has sent a transaction, whose answer is lost.
    """
    world = started_world()
    (former,) = owners(world)
    jobs = [world.submit(tasks(4), duration=1.0)]
    world.advance(0.5)
    world.store.losing = world.looks_up = True
    while not former.shard.ownership.in_flight_rows:
        world.advance(0.05)
    former.paused = True
    world.store.losing = False
    world.advance(pause)
    (next_owner,) = owners(world)
    former.resume()
    world.advance(1)
    assert not former.fleet.owning
    index = world.entries.index(next_owner)
    jobs += [world.submit(tasks(2), duration=1.0, entry=index) for _ in range(3)]
    world.advance(8)
    assert owners(world) == [next_owner]
    assert all(world.state_of(job, index).job_state is COMPLETED for job in jobs)
    assert ROW_LEFT_OUT.number not in former.logs
    assert JOB_NOT_STORED.number not in former.logs
