"""Guard the path of a job from its acceptance to its end."""

from __future__ import annotations

from dataclasses import replace

from wasabispur_core.feed import FeedHealth
from wasabispur_core.log_event import (
    CALL_UNANSWERED,
    CANCELLATION_ANSWERED,
    REPORT_FAILED,
)
from wasabispur_core.workload.intake_message import CallOutcome
from wasabispur_core.workload.progress import JobState
from wasabispur_core.workload.run_progress import RunProgress
from wasabispur_core.workload.worker import ReportArrived, WorkerReport

from .world import COMPLETED, gang, tasks, World


def started_world(**fields) -> World:
    world = World(**fields)
    world.advance(4)
    return world


def test_job_runs_to_its_end_and_any_entry_tells():
    """Guard against a job that only the entry that took it knows."""
    world = started_world()
    job = world.submit(tasks(3), entry=0)
    world.advance(4)
    for entry in range(3):
        assert world.state_of(job, entry).job_state is COMPLETED


def test_same_id_at_two_entries_is_one_job():
    """Guard against a repeated submission that runs the tasks twice."""
    world = started_world()
    job = world.submit(tasks(2), entry=0)
    world.submit(tasks(2), entry=1, job_id=job)
    world.advance(5)
    assert len(world.starts) == 2
    assert world.state_of(job).job_state is COMPLETED


def test_steps_wait_for_earlier_ones():
    """Guard against a step that starts before the steps it names have ended."""
    world = started_world()
    job = world.submit(tasks(2), tasks(3, after=(0,)), tasks(1, after=(1,)))
    world.advance(12)
    assert world.state_of(job).job_state is COMPLETED


def test_gang_starts_as_a_whole_and_ends_as_one():
    """Guard against members that wait alone for a gang that can't be placed."""
    world = started_world(workers=4)
    first = world.submit(gang(4, 8), duration=3)
    world.advance(1)
    second = world.submit(gang(4, 8), duration=3)
    world.advance(1)
    assert {task.split(".")[0] for _, task, _, _ in world.starts} == {first}
    world.advance(8)
    assert world.state_of(second).job_state is COMPLETED


def test_cancelled_job_is_gone_in_time():
    """Guard against tasks that run on after their job was cancelled."""
    world = started_world()
    job = world.submit(tasks(4), duration=60)
    world.advance(2)
    world.cancel(job, entry=1)
    world.advance(1)
    assert job in world.cancelled
    assert not any(worker.runs for worker in world.workers.values())
    assert world.state_of(job).job_state is JobState.CANCELLED


def test_job_that_always_fails_ends_after_its_attempts():
    """Guard against attempts without end, and against one too few."""
    world = started_world()
    job = world.submit(tasks(1), duration=0.5)
    world.failing_jobs.add(job)
    world.advance(6)
    assert len(world.starts) == 2
    assert world.state_of(job).job_state is JobState.FAILED


def test_worker_that_fails_all_uses_up_no_attempts():
    """Guard against jobs that fail since the worker that is free first fails them.

    Seen on pbs-dispatch scale-2: three route plans in a row failed twice each on
    one worker within 0.8 s.
    """
    world = started_world(workers=4)
    next(iter(world.workers.values())).sick = True
    jobs = [
        world.submit(tasks(4, 8), queue_name="bulk", duration=2.0) for _ in range(4)
    ]
    world.advance(25)
    states = {world.state_of(job).job_state for job in jobs}
    assert states == {JobState.COMPLETED}


def test_job_that_fails_everywhere_makes_no_worker_suspected():
    """Guard against workers that get nothing because of jobs that can't be done."""
    world = started_world(workers=4)
    for _ in range(4):
        job = world.submit(tasks(4, 8), queue_name="urgent", duration=0.3)
        world.failing_jobs.add(job)
    world.advance(8)
    workers = world.owner().shard.scheduler.workers.values()
    assert not any(worker.suspected_until > world.timers.now() for worker in workers)


def test_stalled_unit_moves_to_another_worker():
    """Guard against tasks that wait for as long as their worker is stuck.

    Seen on ptsm-press scale-1: tasks on one worker stood still for 6 s.
    """
    world = started_world(workers=4)
    job = world.submit(tasks(4, 8), duration=3.0)
    world.advance(1)
    next(iter(world.workers.values())).stalled = True
    world.advance(15)
    assert world.state_of(job).job_state is JobState.COMPLETED


def test_repeated_lists_do_not_count_as_a_stall():
    """Guard against moving work because an agent reports old lists again.

    Seen on pbs-dispatch scale-1: a gang was moved after 1.7 s in which its agent had
    no new lists.
    """
    progress = RunProgress()
    for now in (1.0, 2.0):
        progress.update(20, True, now)
    assert progress.stalled_for == 1.0
    world = started_world(workers=4)
    world.submit(tasks(1, 8), duration=20.0)
    world.advance(2)
    worker = next(w for w in world.owner().fleet.workers.values() if w.runs)
    idle = replace(worker.runs[0], percent=5, idle=True)
    for number in range(4):
        world.advance(0.5)
        report = WorkerReport(
            agent_id=worker.agent_id,
            number=worker.report_number + 1 + number,
            info=worker.info,
            listing=worker.listing,
            runs=(idle,),
        )
        world.owner().post(ReportArrived(report=report))
    assert worker.suspected_until == 0.0


def test_new_owner_knows_how_long_runs_have_worked():
    """Guard against a new owner that stops the oldest runs as if they were new.

    Seen on pbs-dispatch scale-1: 2 s after all processes had been restarted, 25 runs
    were stopped for urgent jobs, with a loss counted from the takeover on.
    """
    world = started_world(workers=4)
    job = world.submit(tasks(2, 8), duration=60.0)
    world.advance(10)
    world.kill_entry(world.entries.index(world.owner()))
    world.advance(6)
    units = world.owner().fleet.jobs[job].units.values()
    now = world.timers.now()
    begun = [member.started_at for unit in units for member in unit.members]
    assert begun
    assert all(now - started > 14 for started in begun)


def test_unknown_job_key_and_queue_are_told_apart():
    """Guard against one answer for different mistakes."""
    world = started_world()
    job = world.submit(tasks(1), organisation="nobody")
    world.advance(0.5)
    assert job not in world.accepted
    assert world.state_of(job).outcome is CallOutcome.NO_JOB


def test_store_outage_refuses_at_once_and_keeps_work():
    """Guard against a refusal that waits, and against work lost to an outage."""
    world = started_world()
    job = world.submit(tasks(2), duration=9)
    world.advance(1)
    world.store.down = True
    refused = world.submit(tasks(1))
    world.advance(8)
    assert refused in world.refused
    world.clear_faults()
    world.advance(5)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 2


def test_look_up_in_an_outage_is_not_logged_as_a_cancellation():
    """Guard against logs that show cancellations nobody asked for."""
    world = started_world()
    job = world.submit(tasks(1), duration=9)
    world.advance(1)
    world.store.down = True
    assert world.state_of(job).outcome is CallOutcome.UNAVAILABLE
    numbers = [number for entry in world.entries for number in entry.logs]
    assert CALL_UNANSWERED.number in numbers
    assert CANCELLATION_ANSWERED.number not in numbers


def test_planned_stop_hands_the_shard_over_without_a_gap():
    """Guard against a takeover that waits for the lease of a stopped owner."""
    world = started_world()
    owner = world.owner()
    world.stop_entry(world.entries.index(owner))
    world.advance(0.6)
    assert world.owner() is not None


def test_owner_death_is_taken_over_and_work_adopted():
    """Guard against tasks that are lost or doubled by a new owner."""
    world = started_world()
    job = world.submit(tasks(3), duration=8)
    world.advance(1)
    world.kill_entry(world.entries.index(world.owner()))
    world.advance(10)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 3


def test_restarted_agent_adopts_running_tasks():
    """Guard against an agent that lets runs lapse or starts them again."""
    world = started_world()
    job = world.submit(tasks(4), duration=8)
    world.advance(1)
    for index in range(4):
        world.kill_agent(index)
    world.advance(10)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 4


def test_worker_cut_off_with_its_agent_runs_on_and_nothing_runs_twice():
    """Guard against a task that moves while its old run may still be at work."""
    world = started_world()
    job = world.submit(tasks(1), duration=30)
    world.advance(1)
    busy = next(w for w in world.workers.values() if w.runs)
    world.agents[busy.agent_id].partitioned = True
    world.advance(10)
    assert busy.runs
    world.advance(35)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 2


def test_short_partition_restarts_no_task():
    """Guard against a cut of a few seconds that restarts a task."""
    world = started_world()
    job = world.submit(tasks(1), duration=9)
    world.advance(1)
    busy = next(w for w in world.workers.values() if w.runs)
    world.agents[busy.agent_id].partitioned = True
    world.advance(5)
    world.agents[busy.agent_id].partitioned = False
    world.deliver_missed_rows()
    world.advance(5)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 1


def test_restarted_worker_loses_its_runs_at_once():
    """Guard against a task that waits for the horizon although its run is gone."""
    world = started_world()
    job = world.submit(tasks(1), duration=5)
    world.advance(1)
    busy = next(w for w in world.workers.values() if w.runs)
    busy.reborn()
    world.advance(8)
    assert world.state_of(job).job_state is COMPLETED


def test_worker_replaced_under_another_id_loses_its_runs_at_once():
    """Guard against the wait for the horizon of a worker that was replaced.

    Seen on ptsm-press scale-2: after a loss of power all runs waited 13.7 s.
    """
    world = started_world(workers=2)
    job = world.submit(tasks(1), duration=3)
    world.advance(1)
    busy = next(w for w in world.workers.values() if w.runs)
    world.replace_worker(busy.worker_id, "w9")
    world.kill_agent(int(busy.worker_id[1:]))
    world.advance(7)
    assert world.state_of(job).job_state is COMPLETED


def test_start_that_takes_effect_late_runs_once():
    """Guard against an unanswered start that is carried out after its repetition."""
    world = started_world()
    world.delayed_starts = True
    job = world.submit(tasks(2), duration=2)
    world.advance(1)
    world.delayed_starts = False
    world.advance(8)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 2


def test_draining_worker_gets_nothing_new_and_its_long_runs_move():
    """Guard against work that is lost when a worker leaves.

    Seen on ptsm-press scale-2: runs stayed until the worker was gone.
    """
    world = started_world(workers=2)
    job = world.submit(tasks(1), duration=20)
    world.advance(1)
    busy = next(w for w in world.workers.values() if w.runs)
    busy.draining = True
    world.advance(4)
    assert not busy.runs
    assert len(world.starts) == 2
    assert world.state_of(job).job_state is JobState.RUNNING


def test_refusal_after_a_lost_answer_is_not_certain():
    """Guard against "not accepted" for a job that an earlier attempt handed in.

    Found by the state machine: the answer to the first attempt was lost, and the
    second one was refused in an outage of the store.
    """
    world = started_world()
    world.store.losing = True
    job = world.submit(tasks(1), entry=0)
    world.advance(2)
    world.store.losing, world.store.down = False, True
    world.submit(tasks(1), entry=0, job_id=job)
    world.advance(2)
    assert job not in world.refused
    world.clear_faults()
    world.submit(tasks(1), entry=0, job_id=job)
    world.advance(6)
    assert job in world.accepted
    assert len(world.starts) == 1


def test_agent_does_not_spin_while_an_end_waits_for_its_acknowledgement():
    """Guard against calls without a pause while no owner takes ends.

    Seen on pbs-dispatch: 12,275 calls for lists in a minute with 11 workers.
    """
    world = started_world()
    world.submit(tasks(4), duration=1)
    world.advance(0.5)
    world.store.down = True
    world.list_calls = 0
    world.advance(5)
    assert any(worker.ended for worker in world.workers.values())
    assert world.list_calls <= 5 * 4 * 12


def partition_owner(world: World) -> None:
    owner = world.owner()
    assert owner is not None
    for entry in world.entries:
        entry.partitioned = True
        entry.post(FeedHealth(table="report", healthy=False))


def test_owner_reads_ends_before_it_counts_silence():
    """Guard against a finished task that runs again after an outage at the owner.

    Found by the soak with seed 1: the end was in the worker's report, and the owner,
    cut from the store for longer than the lease horizon, gave the worker up before it
    had read the report.
    """
    world = started_world()
    job = world.submit(tasks(2), duration=1)
    world.advance(0.5)
    partition_owner(world)
    world.advance(18)
    for entry in world.entries:
        entry.partitioned = False
        entry.post(FeedHealth(table="report", healthy=True))
    world.advance(0.3)
    world.deliver_missed_rows()
    world.advance(8)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 2


def test_paused_owner_reads_ends_before_it_counts_silence():
    """Guard against the same after a pause of the owner's process."""
    world = started_world()
    job = world.submit(tasks(2), duration=1)
    world.advance(0.5)
    for entry in world.entries:
        entry.paused = True
    world.advance(18)
    for entry in world.entries:
        # What the process receives after the pause comes after its own timers.
        late = [
            message
            for message in entry.queued_messages
            if isinstance(message, ReportArrived)
        ]
        entry.queued_messages = [
            message for message in entry.queued_messages if message not in late
        ]
        entry.resume()
        entry.queued_messages = []
        for message in late:
            entry.post_later(0.2, message)
    world.advance(8)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 2


def test_agent_does_not_spin_while_the_store_is_away():
    """Guard against a flood of attempts and log lines in an outage.

    Found by the soak with seed 1: agents tried to write their reports some ten
    times a second.
    """
    world = started_world()
    world.store.down = True
    for agent in world.agents.values():
        agent.logs.clear()
    world.advance(5)
    for agent in world.agents.values():
        assert agent.logs.count(REPORT_FAILED.number) <= 12
