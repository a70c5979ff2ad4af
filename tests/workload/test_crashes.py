"""Test how the owner finds and gives up tasks under which workers crash."""

from __future__ import annotations

import pytest

from wasabispur_core.workload.jobs.progress import JobState

from .world import COMPLETED, gang, started_world, tasks, World


def crashing_job(world: World, *steps, positions=(0,), **fields) -> str:
    """Submit a job in which some tasks crash each worker that starts them."""
    job = world.submit(*steps, **fields)
    for position in positions:
        world.crashing_tasks.add(f"{job}.0.0.{position}")
    return job


def test_task_that_crashes_each_worker_is_given_up():
    """Guard against a task that crashes one worker after the other."""
    world = started_world()
    job = crashing_job(world, tasks(2))
    world.advance(60)
    assert world.state_of(job).job_state is JobState.FAILED


def test_crashes_are_counted_for_each_member_of_a_gang():
    """Guard against a gang that is restarted forever because of one member."""
    world = started_world()
    job = crashing_job(world, gang(4, 4), positions=(2,))
    world.advance(60)
    assert world.state_of(job).job_state is JobState.FAILED


@pytest.mark.parametrize("step", [tasks(1, long_running=True), tasks(1)])
def test_count_of_crashes_survives_the_loss_of_all_entries_and_agents(step):
    """Guard against a count that begins again with each owner."""
    world = started_world()
    job = crashing_job(world, step)
    for _ in range(20):
        world.advance(1.5)
        for index in range(3):
            world.kill_entry(index)
        world.advance(1.5)
        for index in range(4):
            world.kill_agent(index)
    world.advance(20)
    assert world.state_of(job).job_state is JobState.FAILED


def test_neighbours_of_a_crashing_task_complete():
    """Guard against unrelated tasks that are given up with the one beside them."""
    world = started_world()
    jobs = [world.submit(tasks(8), duration=12.0) for _ in range(2)]
    world.advance(1)
    crashing = crashing_job(world, tasks(1), organisation="prairie")
    world.advance(120)
    assert world.state_of(crashing).job_state is JobState.FAILED
    for job in jobs:
        assert world.state_of(job).job_state is COMPLETED


def test_suspected_task_runs_alone_on_its_worker():
    """Guard against the third crash of a task that takes unrelated work with it."""
    world = started_world()
    crashing = crashing_job(world, tasks(1))
    job = world.submit(tasks(12), duration=20.0)
    world.advance(60)
    starts = [(at, where) for at, task, _, where in world.starts if crashing in task]
    assert len(starts) == 3
    assert world.state_of(job).job_state is COMPLETED
    last_worker = starts[-1][1]
    crashed_beside = [
        task
        for at, task, _, where in world.starts
        if job in task and where == last_worker and at < starts[-1][0] < at + 20.0
    ]
    assert not crashed_beside


def test_silent_worker_is_no_crash():
    """Guard against a job that is given up because its workers were cut off."""
    world = started_world()
    job = world.submit(tasks(1), duration=25.0)
    for _ in range(4):
        world.advance(2)
        busy = next(worker for worker in world.workers.values() if worker.runs)
        agent = world.agents[busy.agent_id]
        agent.partitioned = True
        world.advance(20)
        agent.partitioned = False
        world.deliver_missed_rows()
    world.advance(60)
    assert world.state_of(job).job_state is COMPLETED


def test_crashes_far_apart_do_not_end_a_long_task():
    """Guard against a task of hours that is given up after three unrelated crashes."""
    world = started_world()
    job = world.submit(tasks(1), duration=1500.0)
    for run_time in (100, 250, 100, 600):
        world.advance(run_time)
        busy = next(worker for worker in world.workers.values() if worker.runs)
        world.crash_worker(busy)
    world.advance(1600)
    assert world.state_of(job).job_state is COMPLETED


def test_worker_that_leaves_is_no_crash():
    """Guard against a job that is given up because workers were replaced under it."""
    world = started_world()
    job = world.submit(tasks(1, checkpointing=True), duration=30.0)
    for _ in range(4):
        world.advance(2)
        busy = next(worker for worker in world.workers.values() if worker.runs)
        busy.draining = True
        world.advance(2)
        busy.up = False
        world.advance(1)
        world.restart_worker(busy)
        world.advance(3)
    world.advance(60)
    assert world.state_of(job).job_state is COMPLETED


def test_start_that_was_not_carried_out_is_no_crash():
    """Guard against a job that is given up for crashes of workers that it never used.

    The start gets no answer in time, and its worker crashes before it carries it out.
    """
    world = started_world()
    world.delayed_starts = True
    world.start_delay = 30.0
    job = world.submit(tasks(1))
    for _ in range(4):
        world.advance(1.5)
        for worker_id in world.ordered_workers():
            world.workers[worker_id].up = False
        world.advance(2)
    for worker in world.workers.values():
        if not worker.up:
            world.restart_worker(worker)
    world.delayed_starts = False
    world.advance(20)
    assert world.state_of(job).job_state is COMPLETED


def test_crash_long_after_an_unanswered_start_does_not_prove_that_it_began():
    """Guard against a job that is given up for crashes of workers that it never used.

    Starts are carried out late, and the worker crashes while a call is in progress.
    """
    world = started_world()
    world.delayed_starts = True
    world.start_delay = 30.0
    job = world.submit(tasks(1))
    for _ in range(3):
        crash_under_start(world)
        world.advance(2)
    assert not world.ended(job)
    for worker in world.workers.values():
        if not worker.up:
            world.restart_worker(worker)
    world.delayed_starts = False
    world.advance(20)
    assert world.state_of(job).job_state is COMPLETED


def crash_under_start(world: World) -> None:
    """Crash the worker to which a start was sent some time ago without an answer."""
    for _ in range(100):
        world.advance(0.05)
        now = world.timers.now()
        for agent in world.agents.values():
            for worker_id, worker in agent.state.workers.items():
                ages = [now - at for at in worker.started.values()]
                if worker.ordered and any(0.2 < age < 0.28 for age in ages):
                    world.workers[worker_id].up = False
                    return
    raise AssertionError("no start was in progress")
