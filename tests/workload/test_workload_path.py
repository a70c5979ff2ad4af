"""Test the path of a job from its acceptance to its end."""

from __future__ import annotations

import json
from dataclasses import replace
from math import inf

from wasabispur_core.log_event import (
    CALL_UNANSWERED,
    CANCELLATION_ANSWERED,
    REPORT_FAILED,
    UNIT_WAITING,
)
from wasabispur_core.storage.feed import FeedHealth
from wasabispur_core.workload.intake.intake_message import CallOutcome
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.planning.plan import Wait, WaitReason
from wasabispur_core.workload.planning.wait_log import log_wait
from wasabispur_core.workload.run_times.run_progress import RunProgress
from wasabispur_core.workload.workers.worker import ReportArrived, WorkerReport

from .world import COMPLETED, gang, started_world, tasks, World


def test_completed_job_is_visible_at_every_entry():
    """Guard against a job that is known only to the entry that accepted it."""
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
    """Guard against a step that starts before its dependencies are completed."""
    world = started_world()
    job = world.submit(tasks(2), tasks(3, after=(0,)), tasks(1, after=(1,)))
    world.advance(12)
    assert world.state_of(job).job_state is COMPLETED


def test_gang_starts_only_when_all_its_tasks_fit():
    """Guard against starting single tasks of a gang that does not fit as a whole."""
    world = started_world(workers=4)
    first = world.submit(gang(4, 8), duration=3)
    world.advance(1)
    second = world.submit(gang(4, 8), duration=3)
    world.advance(1)
    assert {task.split(".")[0] for _, task, _, _ in world.starts} == {first}
    world.advance(8)
    assert world.state_of(second).job_state is COMPLETED


def test_cancelled_job_stops_within_a_second():
    """Guard against tasks that keep running after their job was cancelled."""
    world = started_world()
    job = world.submit(tasks(4), duration=60)
    world.advance(2)
    world.cancel(job, entry=1)
    world.advance(1)
    assert job in world.cancelled
    assert not any(worker.runs for worker in world.workers.values())
    assert world.state_of(job).job_state is JobState.CANCELLED


def test_job_that_always_fails_ends_after_its_attempts():
    """Guard against more or fewer attempts than the limit of the queue."""
    world = started_world()
    job = world.submit(tasks(1), duration=0.5)
    world.failing_jobs.add(job)
    world.advance(6)
    assert len(world.starts) == 2
    assert world.state_of(job).job_state is JobState.FAILED


def test_faulty_worker_does_not_use_up_attempts():
    """Guard against jobs that use up their attempts on one faulty worker.

    A faulty worker is always the first one to be free. Three jobs in a row failed
    twice each on one worker within 0.8 s.
    """
    world = started_world(workers=4)
    next(iter(world.workers.values())).fails_runs = True
    jobs = [
        world.submit(tasks(4, 8), queue_name="bulk", duration=2.0) for _ in range(4)
    ]
    world.advance(25)
    states = {world.state_of(job).job_state for job in jobs}
    assert states == {JobState.COMPLETED}


def test_job_that_fails_everywhere_causes_no_suspicion():
    """Guard against suspecting workers because of jobs that fail everywhere."""
    world = started_world(workers=4)
    for _ in range(4):
        job = world.submit(tasks(4, 8), queue_name="urgent", duration=0.3)
        world.failing_jobs.add(job)
    world.advance(8)
    workers = world.owner().shard.scheduler.workers.values()
    assert not any(worker.suspected_until > world.timers.now() for worker in workers)


def test_stalled_unit_moves_to_another_worker():
    """Guard against tasks that stall for as long as their worker does.

    Tasks on one worker stalled for 6 s.
    """
    world = started_world(workers=4)
    job = world.submit(tasks(4, 8), duration=3.0)
    world.advance(1)
    next(iter(world.workers.values())).stalled = True
    world.advance(15)
    assert world.state_of(job).job_state is JobState.COMPLETED


def test_repeated_lists_do_not_count_as_a_stall():
    """Guard against moving a unit because its agent reports an old list again.

    A gang was moved after 1.7 s in which its agent had received no new list.
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
    for _ in range(4):
        world.advance(0.5)
        version = worker.report_version
        report = WorkerReport(
            agent_id=worker.agent_id,
            number=version,
            info=worker.info,
            listing=worker.listing,
            runs=(idle,),
        )
        world.owner().post(ReportArrived(report=report, version=version))
    assert worker.suspected_until == 0.0


def test_new_owner_knows_the_start_of_runs():
    """Guard against a new owner that treats old runs as just started.

    When the lost work was counted from the takeover, 25 runs were preempted for urgent
    jobs 2 s after a restart of all processes.
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


def test_job_with_an_unknown_key_is_not_accepted():
    """Guard against accepting a job without a valid key."""
    world = started_world()
    job = world.submit(tasks(1), organisation="nobody")
    world.advance(0.5)
    assert job not in world.accepted
    assert world.state_of(job).outcome is CallOutcome.NO_JOB


def test_store_outage_refuses_at_once_and_keeps_work():
    """Guard against a late refusal and against runs lost in a store outage."""
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
    """Guard against log records of cancellations that nobody requested."""
    world = started_world()
    job = world.submit(tasks(1), duration=9)
    world.advance(1)
    world.store.down = True
    assert world.state_of(job).outcome is CallOutcome.UNAVAILABLE
    numbers = [number for entry in world.entries for number in entry.logs]
    assert CALL_UNANSWERED.number in numbers
    assert CANCELLATION_ANSWERED.number not in numbers


def test_planned_stop_releases_the_shard_immediately():
    """Guard against a takeover that waits for the lease of a stopped owner."""
    world = started_world()
    owner = world.owner()
    world.stop_entry(world.entries.index(owner))
    world.advance(0.6)
    assert world.owner() is not None


def test_new_owner_adopts_running_tasks():
    """Guard against a new owner that loses tasks or runs them twice."""
    world = started_world()
    job = world.submit(tasks(3), duration=8)
    world.advance(1)
    world.kill_entry(world.entries.index(world.owner()))
    world.advance(10)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 3


def test_restarted_agent_adopts_running_tasks():
    """Guard against a restarted agent that lets leases expire or restarts runs."""
    world = started_world()
    job = world.submit(tasks(4), duration=8)
    world.advance(1)
    for index in range(4):
        world.kill_agent(index)
    world.advance(10)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 4


def test_partitioned_agent_and_worker_run_no_task_twice():
    """Guard against a task that moves while its old run may still be active."""
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
    """Guard against a network partition of a few seconds that restarts a task."""
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
    """Guard against a task that waits for the lease horizon after a worker restart."""
    world = started_world()
    job = world.submit(tasks(1), duration=5)
    world.advance(1)
    busy = next(w for w in world.workers.values() if w.runs)
    busy.restart()
    world.advance(8)
    assert world.state_of(job).job_state is COMPLETED


def test_worker_replaced_under_another_id_loses_its_runs_at_once():
    """Guard against waiting for the lease horizon of a worker that was replaced.

    After a power failure, all runs waited 13.7 s.
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
    """Guard against an unanswered start call that takes effect after its retry."""
    world = started_world()
    world.delayed_starts = True
    job = world.submit(tasks(2), duration=2)
    world.advance(1)
    world.delayed_starts = False
    world.advance(8)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 2


def test_long_run_leaves_a_draining_worker():
    """Guard against runs that stay on a draining worker and are lost with it."""
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
    """Guard against "not accepted" for a job that an earlier attempt submitted.

    The store's answer to the first attempt was lost, and the second attempt was refused
    in a store outage.
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
    """Guard against list calls without a delay while no owner acknowledges ends.

    Agents made 12,275 list calls in a minute with 11 workers.
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
    """Guard against a completed task that runs again after an outage at the owner.

    The owner had no connection to the store for longer than the lease horizon. It
    removed the worker as silent before it read the report that contained the end.
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
    """Guard against a completed task that runs again after a pause of the owner."""
    world = started_world()
    job = world.submit(tasks(2), duration=1)
    world.advance(0.5)
    for entry in world.entries:
        entry.paused = True
    world.advance(18)
    for entry in world.entries:
        # The process handles its own timers before the reports it receives.
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
    """Guard against frequent retries and log records in a store outage.

    Agents tried to write their reports about ten times a second.
    """
    world = started_world()
    world.store.down = True
    for agent in world.agents.values():
        agent.logs.clear()
    world.advance(5)
    for agent in world.agents.values():
        assert agent.logs.count(REPORT_FAILED.number) <= 12


def test_new_owner_stops_nothing_before_all_workers_reported():
    """Guard against work that is stopped because of reports that are yet unread."""
    world = started_world(workers=4)
    long = world.submit(tasks(3, 8), queue_name="bulk", duration=6)
    world.advance(1)
    for entry in world.entries:
        entry.partitioned = True
    world.kill_entry(world.entries.index(world.owner()))
    for entry in world.entries:
        entry.partitioned = False
    urgent = world.submit(tasks(1, 8), queue_name="urgent", entry=1, duration=1)
    world.advance(12)
    assert world.state_of(urgent).job_state is COMPLETED
    assert world.state_of(long).job_state is COMPLETED
    assert len(world.starts) == 4


def test_waiting_unit_is_logged_once_for_each_reason():
    """Guard against a log that grows with each planning pass of a waiting unit."""
    world = World(workers=1)
    world.advance(4)
    world.submit(tasks(8), duration=6.0)
    world.advance(0.5)
    world.submit(tasks(4), queue_name="bulk", duration=1.0)
    world.advance(4)
    assert world.owner().logs.count(UNIT_WAITING.number) == 1


def test_wait_of_a_guaranteed_unit_is_valid_json():
    """Guard against an infinite limit in a log line, which JSON parsers refuse."""
    world = started_world(workers=1)
    fleet = world.owner().fleet
    job = world.submit(tasks(1, 8), queue_name="urgent", duration=9.0)
    world.advance(1)
    unit_id = next(iter(fleet.jobs[job].units))
    wait = Wait(unit_id=unit_id, reason=WaitReason.NO_ROOM, loss_limit=inf)
    (command,) = log_wait(wait, fleet, world.timers.now())
    json.dumps(command.fields, allow_nan=False)
