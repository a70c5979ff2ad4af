"""Test an owner whose lease is over and that has not confirmed it again."""

from __future__ import annotations

from math import nan

import pytest

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import PLANNING_HELD_BACK, UNIT_PLACED
from wasabispur_core.sharding.ownership import decide, Ownership, ShardRowRead
from wasabispur_core.sharding.ownership_action import ownership_chart
from wasabispur_core.storage.store import Row

from .world import COMPLETED, started_world, STORE_LATENCY, tasks


def test_owner_that_wakes_up_after_its_lease_places_nothing():
    """Guard against two entries that log placements of one job.

    The former owner was frozen while another entry took over. It read the jobs that had
    been accepted meanwhile, and placed them before the store had answered it.
    """
    world = started_world()
    former = world.owner()
    other = (world.entries.index(former) + 1) % len(world.entries)
    former.paused = True
    world.advance(0.5)
    job = world.submit(tasks(2), duration=1.0, entry=other)
    world.advance(8)
    placed = former.logs.count(UNIT_PLACED.number)
    former.resume()
    world.advance(2)
    assert former.logs.count(UNIT_PLACED.number) == placed
    assert not former.fleet.owning
    assert world.state_of(job, other).job_state is COMPLETED


def test_owner_plans_nothing_while_the_store_is_away_and_goes_on_after_it():
    """Guard against placements that are logged and can't be stored.

    The lines told for as long as the store was away that an entry placed work that no
    agent could read of; and against an owner that doesn't begin again.
    """
    world = started_world()
    owner = world.owner()
    blocked = world.submit(tasks(4, 8), duration=4.0)
    world.advance(1)
    waiting = world.submit(tasks(2, 8), duration=1.0)
    world.advance(0.5)
    placed = owner.logs.count(UNIT_PLACED.number)
    world.store.down = True
    world.advance(8)
    for worker in world.workers.values():
        assert not worker.runs
    assert owner.logs.count(UNIT_PLACED.number) == placed
    (line,) = [one for one in owner.records if one.number == PLANNING_HELD_BACK.number]
    assert 0 <= line.fields["over"] < 1.0
    world.clear_faults()
    world.advance(10)
    assert all(world.ended(job) for job in (blocked, waiting))


SLOW_TRANSACTION = 3.0
"""Seconds until a slow store answers a transaction, more than the owner's lease."""


@pytest.mark.parametrize(("entries", "settling"), [(1, 6.0), (3, 24.0)])
def test_owner_with_a_slow_store_goes_on_planning(entries, settling):
    """Guard against an owner that waits for a lease which is over at each confirmation.

    Jobs would run nothing beside idle workers until the store is faster. A placement
    waits for the transaction in flight, and no longer. Other entries took the shard
    from each other without end, as each claim was answered later than the next one was
    made.
    """
    world = started_world(entries=entries)
    world.transaction_time = SLOW_TRANSACTION
    world.advance(settling)
    jobs = []
    for _ in range(8):
        job = world.submit(tasks(2), duration=1.0)
        jobs.append((world.timers.now(), job))
        world.advance(0.7)
    world.advance(3 * SLOW_TRANSACTION)
    begun = {task.partition(".")[0]: now for now, task, _, _ in reversed(world.starts)}
    waits = [begun[job] - submitted for submitted, job in jobs]
    assert max(waits) < SLOW_TRANSACTION + 0.25
    world.transaction_time = STORE_LATENCY
    world.advance(10)
    assert all(world.ended(job) for _, job in jobs)


@pytest.mark.parametrize(
    ("lease", "waits"),
    [
        (2.0, 2.0),
        (3.5, 3.5),
        (1e9, 4.0),
        (0.0, 2.0),
        ("odd", 2.0),
        (None, 2.0),
        (nan, 2.0),
    ],
)
def test_wait_for_an_announced_lease_is_bounded(lease, waits):
    """Guard against a takeover that a row delays without end, or allows at once."""
    state = Ownership(
        "e1", "main", ownership_chart(ChartCatalogue()).start(), lambda: "op"
    )
    state.lease_time = 2.0
    value = {"owner": "e2", "epoch": 1, "lease": lease}
    row = Row(key=state.key, version=5, operation_id="other", value=value)
    now = 0.0
    while state.lifecycle.state == "observing" and now < 60:
        now += 0.1
        decide(ShardRowRead(row=row), state, now)
    assert waits < now - 0.1 < 1.02 * waits + 0.15
