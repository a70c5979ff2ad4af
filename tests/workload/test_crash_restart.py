"""Test tasks that crash workers which are back at once."""

from __future__ import annotations

import pytest

from wasabispur_core.workload.agent.runner_message import StartUnanswered
from wasabispur_core.workload.jobs.progress import JobState

from .test_crashes import crashing_job
from .test_planner import decide, placed, waiting, worker
from .world import COMPLETED, gang, started_world, tasks, World


def world_of_fast_restarts(workers: int, recovery_time: float) -> World:
    world = started_world(workers=workers)
    world.crash_recovery_time = recovery_time
    return world


def starts_of(world: World, job: str, position: int = 0) -> list[tuple[float, str]]:
    task = f"{job}.0.0.{position}"
    return [(at, where) for at, name, _, where in world.starts if name == task]


@pytest.mark.parametrize("recovery_time", [0.007, 0.05, 0.3, 3.0])
@pytest.mark.parametrize("workers", [1, 2, 4])
def test_number_of_crashes_does_not_depend_on_the_time_of_a_restart(
    workers, recovery_time
):
    """Guard against crashes that count less because the worker was back at once."""
    world = world_of_fast_restarts(workers, recovery_time)
    job = crashing_job(world, tasks(1))
    world.advance(30)
    assert world.state_of(job).job_state is JobState.FAILED
    assert len(starts_of(world, job)) == 3


@pytest.mark.parametrize("recovery_time", [0.007, 0.3])
def test_gang_whose_workers_are_back_at_once_is_given_up(recovery_time):
    """Guard against a gang that crashes its workers more often than a single task."""
    world = world_of_fast_restarts(2, recovery_time)
    job = crashing_job(world, gang(4, 4), positions=(2,))
    world.advance(40)
    assert world.state_of(job).job_state is JobState.FAILED
    assert len(starts_of(world, job, 2)) == 3


@pytest.mark.parametrize("recovery_time", [0.007, 0.3])
@pytest.mark.parametrize("workers", [1, 2])
def test_change_of_the_owner_adds_no_crash(workers, recovery_time):
    """Guard against a new owner that takes crashes for less certain."""
    world = world_of_fast_restarts(workers, recovery_time)
    job = crashing_job(world, tasks(1))
    for _ in range(8):
        count = len(starts_of(world, job))
        for _ in range(100):
            world.advance(0.05)
            if len(starts_of(world, job)) > count:
                break
        for index in range(3):
            world.kill_entry(index)
        world.advance(5)
    assert world.state_of(job).job_state is JobState.FAILED
    assert len(starts_of(world, job)) == 3


def test_task_does_not_return_to_the_worker_that_it_has_just_crashed():
    """Guard against a task that crashes one worker again while another one is free."""
    world = world_of_fast_restarts(2, 0.007)
    job = crashing_job(world, tasks(1))
    world.advance(30)
    used = [where for _, where in starts_of(world, job)]
    assert all(one != other for one, other in zip(used, used[1:], strict=False))


def test_retries_on_the_only_worker_are_delayed_more_and_more():
    """Guard against a worker that is crashed again as soon as it is back."""
    world = world_of_fast_restarts(1, 0.007)
    job = crashing_job(world, tasks(1))
    for _ in range(400):
        # The worker announces itself as soon as it is back.
        world.workers["w0"].next_heartbeat = 0.0
        world.advance(0.05)
    first, second, third = [at for at, _ in starts_of(world, job)]
    assert second - first >= 0.5
    assert third - second >= 1.0
    assert third - second > second - first


def test_other_units_of_a_worker_that_crashes_at_once_again_complete():
    """Guard against unrelated tasks that are given up on a single worker."""
    world = world_of_fast_restarts(1, 0.007)
    job = world.submit(tasks(3), duration=6.0)
    world.advance(1)
    crashing = crashing_job(world, tasks(1), organisation="prairie")
    world.advance(60)
    assert world.state_of(crashing).job_state is JobState.FAILED
    assert world.state_of(job).job_state is COMPLETED


def test_dangerous_unit_leaves_out_the_worker_that_it_crashed_last():
    """Guard against a unit that crashes the worker of its last crash again."""
    fields = {"dangerous": True, "failed_on": frozenset({"w0", "w1"})}
    unit = waiting("unit", last_crash_on="w1", **fields)
    # The other worker would be preferred, as less of it is free.
    assert placed(decide([worker(0), worker(1, used=4)], [unit])) == {"unit": ["w0"]}
    # It is used if no other one has room.
    later = waiting("unit", last_crash_on="w1", ready_at=-90.0, **fields)
    assert placed(decide([worker(0, used=8), worker(1)], [later])) == {"unit": ["w1"]}


@pytest.mark.parametrize(
    ("age", "fields", "begun"),
    [
        (0.1, {}, True),
        (0.5, {}, False),
        (0.5, {"elapsed": 0.1}, True),
        (0.1, {"elapsed": 0.5}, False),
        (0.1, {"timed_out": True}, False),
        (0.1, {"sent": False}, False),
    ],
)
def test_broken_start_call_that_is_learned_of_after_the_restart(age, fields, begun):
    """Guard against a heartbeat that overtakes what shows that the run had begun."""
    world = world_of_fast_restarts(1, 0.007)
    local = world.agents["agent-0"].state.workers["w0"]
    now = world.timers.now()
    local.started["t", 1] = now - age
    lost = StartUnanswered(
        worker_id="w0", incarnation="0", task="t", run=1, reason="cut", **fields
    )
    world.agents["agent-0"].post(lost)
    assert (("t", 1) in local.former_crashes) is begun


def test_worker_that_leaves_while_the_owner_changes_is_no_certain_crash():
    """Guard against a job that is given up because workers were replaced under it.

    A new owner does not know that the worker had announced that it leaves.
    """
    world = started_world()
    job = world.submit(tasks(1, checkpointing=True), duration=30.0)
    for _ in range(4):
        world.advance(2)
        busy = next(worker for worker in world.workers.values() if worker.runs)
        for index in range(3):
            world.kill_entry(index)
        busy.draining, busy.next_heartbeat = True, 0.0
        world.advance(0.1)
        world.restart_worker(busy)
        world.advance(8)
    world.advance(60)
    assert world.state_of(job).job_state is COMPLETED
