"""Test that the logs tell how far a takeover has come, and what it waits for."""

from __future__ import annotations

import os

from wasabispur_core.command import Command, WriteLog
from wasabispur_core.log_event import (
    FIRST_PLANNING_PASS,
    FLEET_LOADED,
    SHARD_CLAIMED,
    TAKEOVER_PENDING,
    TAKEOVER_STEP,
)
from wasabispur_core.metric import TAKEOVER_TIME
from wasabispur_core.sharding.ownership import ShardAcquired
from wasabispur_core.workload.owner import scheduler
from wasabispur_core.workload.owner.fleet_message import FleetTick, TableReady
from wasabispur_core.workload.policies.policy import PolicyChanged
from wasabispur_core.workload.rows import JOB_TABLE, REPORT_TABLE
from wasabispur_runtime.log import RecordSink
from wasabispur_runtime.metrics import MetricRegistry
from wasabispur_runtime.workload_metrics import WorkloadMetrics

from .world import COMPLETED, POLICY, started_world, tasks
from .world_process import CATALOGUE

STEPS = (
    SHARD_CLAIMED.number,
    TAKEOVER_STEP.number,
    FLEET_LOADED.number,
    FIRST_PLANNING_PASS.number,
)


def logs(commands: list[Command], number: int) -> list[dict]:
    """Return the fields of the log lines with a number."""
    return [
        command.fields
        for command in commands
        if isinstance(command, WriteLog) and command.number == number
    ]


def test_each_step_of_a_takeover_has_a_line_with_its_age():
    """Guard against a record that can't tell who planned after a takeover, and when.

    A job of a reported case waited for 24 s after its owner had lost the shard, and no
    line said whether another entry owned it, still read tables or planned.
    """
    world = started_world()
    world.kill_entry(world.entries.index(world.owner()))
    world.submit(tasks(1), entry=1)
    world.advance(6)
    owner = world.owner()
    steps = [record for record in owner.records if record.number in STEPS]
    while SHARD_CLAIMED.number in [record.number for record in steps[1:]]:
        # A claim that another entry forestalled.
        del steps[0]
    numbers = [record.number for record in steps]
    assert numbers == [
        SHARD_CLAIMED.number,
        *[TAKEOVER_STEP.number] * len(scheduler.LOADED_TABLES),
        FLEET_LOADED.number,
        FIRST_PLANNING_PASS.number,
    ]
    claimed, *read, loaded, planned = [record.fields for record in steps]
    assert claimed["unchanged"] > owner.shard.ownership.lease_time
    assert {step["step"] for step in read} == set(scheduler.LOADED_TABLES)
    assert not read[-1]["loading"]
    assert 0 < read[0]["age"] <= loaded["took"] <= planned["age"] < 1.0
    assert planned["waiting"] == 1


def test_owner_that_can_not_plan_yet_names_what_it_waits_for():
    """Guard against an owner that waits for a table without a line that says so."""
    state = scheduler.new_fleet_state(CATALOGUE, 12.0)
    scheduler.decide(ShardAcquired(epoch=3, claim_time=0.5), state, 100.0)
    for table in scheduler.LOADED_TABLES:
        if table != REPORT_TABLE:
            message = TableReady(table=table, rows=7)
            step = logs(scheduler.decide(message, state, 101.0), TAKEOVER_STEP.number)
            assert step[0]["rows"] == 7
            assert step[0]["age"] == 1.5
    pending: list[dict] = []
    for second in range(102, 112):
        commands = scheduler.decide(FleetTick(), state, float(second))
        pending += logs(commands, TAKEOVER_PENDING.number)
    assert len(pending) == 3
    assert pending[0]["loading"] == ["policy", REPORT_TABLE]
    step = logs(
        scheduler.decide(PolicyChanged(policy=POLICY), state, 112.0),
        TAKEOVER_STEP.number,
    )
    assert step[0]["step"] == scheduler.POLICY
    assert step[0]["loading"] == [REPORT_TABLE]
    assert step[0]["since_step"] == 11.0


def test_table_that_is_read_again_is_no_step_of_the_takeover():
    """Guard against steps that are logged for each later reading of a feed."""
    world = started_world()
    owner = world.owner()
    count = len([n for n in owner.logs if n == TAKEOVER_STEP.number])
    owner.post(TableReady(table=JOB_TABLE, rows=1))
    assert len([n for n in owner.logs if n == TAKEOVER_STEP.number]) == count


def test_time_of_a_takeover_is_a_metric():
    """Guard against long takeovers that only the logs of one process show."""
    registry = MetricRegistry()
    registry.configure("entry-1")
    reader, writer = os.pipe()
    metrics = WorkloadMetrics(registry, RecordSink(writer, "entry-1"))
    loaded = WriteLog(number=FLEET_LOADED.number, fields={"took": 2.5})
    metrics.observe(FleetTick(), [loaded], 0.0)
    series = [one for one in registry.read() if one.name == TAKEOVER_TIME.name]
    assert [(one.count, one.value) for one in series] == [(1, 2.5)]
    os.close(reader)
    os.close(writer)


def test_runs_on_workers_replaced_in_a_power_loss_are_restarted_at_once():
    """Guard against work that waits for the lease horizon after a loss of all power.

    The machines are back with other workers before the next owner reads the reports.
    Until then it took the former workers out and forgot to end their runs.
    """
    world = started_world()
    job = world.submit(tasks(3), duration=3.0)
    world.advance(1)
    lose_power(world)
    world.advance(8)
    assert world.state_of(job).job_state is COMPLETED


def test_losses_of_all_power_do_not_use_up_the_crash_limit():
    """Guard against a job that is given up because its workers lost their power.

    No task is the cause if its workers were replaced while nobody owned the shard.
    """
    world = started_world()
    job = world.submit(tasks(3), duration=20.0)
    for _ in range(4):
        world.advance(4)
        lose_power(world)
        world.advance(4)
    world.advance(40)
    assert world.state_of(job).job_state is COMPLETED


def lose_power(world):
    """Restart all processes, and replace all workers before an entry runs again."""
    for index in range(len(world.entries)):
        world.kill_entry(index)
        world.entries[index].paused = True
    for worker_id in list(world.workers):
        world.replace_worker(worker_id, worker_id + "x")
    for index in range(len(world.agents)):
        world.kill_agent(index)
    world.advance(1)
    for entry in world.entries:
        entry.resume()
