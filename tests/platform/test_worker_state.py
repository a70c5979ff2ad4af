"""Check the tasks of the worker stand-in on a fake clock."""

from __future__ import annotations

import pytest

from wasabispur_standins.fault import FaultList
from wasabispur_standins.stand_in import handle
from wasabispur_standins.worker_message import (
    CheckpointCall,
    ReadTask,
    ReadUsage,
    RenewCall,
    StartTaskCall,
    StopCall,
    TaskCommand,
    ThrottleCall,
)
from wasabispur_standins.worker_state import (
    NoCapacityError,
    TaskConflictError,
    WorkerState,
)


def start(
    state,
    task_id="t",
    accelerators=2,
    now=0.0,
    lease=10.0,
    lease_end=None,
    checkpoint="",
    **c,
):
    """Start a task and return its view."""
    call = StartTaskCall(
        task_id=task_id,
        accelerators=accelerators,
        command=TaskCommand(**c),
        lease=lease,
        lease_end=lease_end,
        checkpoint=checkpoint,
    )
    return handle(call, state, now)


def read(state, now, task_id="t"):
    """Return the view of a task."""
    return handle(ReadTask(task_id=task_id), state, now)


def test_a_repeated_start_is_one_start():
    """Guard against a stand-in that hides or causes a second start of a task."""
    state = WorkerState()
    start(state)
    start(state, now=0.5)
    assert len(state.starts) == 1


def test_a_task_finishes_after_its_run_time_with_its_result():
    """Guard against a task that ends early or loses its result."""
    state = WorkerState()
    start(state, run_time=3.0, result="done")
    assert read(state, 2.9).state == "running"
    assert (read(state, 3.1).state, read(state, 3.1).result) == ("finished", "done")


def test_lease_expires_on_the_workers_clock_even_if_read_late():
    """Guard against a task reported as finished although its lease expired before."""
    state = WorkerState()
    start(state, run_time=5.0, lease=2.0)
    assert read(state, 100.0).state == "expired"
    with pytest.raises(TaskConflictError):
        handle(RenewCall(task_id="t", lease=5.0), state, 101.0)


def test_renewal_keeps_a_task_running():
    """Guard against a renewal that does not extend the lease."""
    state = WorkerState()
    start(state, run_time=9.0, lease=2.0)
    handle(RenewCall(task_id="t", lease=2.0), state, 1.9)
    assert read(state, 3.8).state == "running"


def test_call_that_is_executed_late_prolongs_no_lease():
    """Guard against a lease that lasts longer the later its call is executed."""
    state = WorkerState()
    start(state, run_time=90.0, lease=5.0, lease_end=5.0)
    handle(RenewCall(task_id="t", lease=5.0, lease_end=8.0), state, 4.0)
    with pytest.raises(TaskConflictError):
        handle(RenewCall(task_id="t", lease=5.0, lease_end=7.5), state, 7.8)
    assert read(state, 8.1).state == "expired"
    with pytest.raises(TaskConflictError):
        start(state, task_id="u", now=9.0, lease=5.0, lease_end=8.5)
    assert len(state.starts) == 1


def test_throttle_slows_and_a_checkpoint_saves_the_progress():
    """Guard against progress lost in a restart from a checkpoint."""
    state = WorkerState()
    start(state, run_time=4.0)
    handle(ThrottleCall(task_id="t", share=0.5), state, 1.0)
    saved = handle(CheckpointCall(task_id="t"), state, 3.0).checkpoint
    other = WorkerState()
    start(other, now=100.0, run_time=4.0, checkpoint=saved)
    assert read(other, 101.9).state == "running"
    assert read(other, 102.1).state == "finished"


def test_stop_time_and_ignored_stops():
    """Guard against tests of reclaim in which every worker stops on request."""
    state = WorkerState()
    start(state, run_time=9.0, stop_time=1.0)
    assert handle(StopCall(task_id="t"), state, 1.0).state == "running"
    assert read(state, 2.0).state == "stopped"
    ignoring_stops = WorkerState()
    ignoring_stops.observe(FaultList(faults=[{"kind": "ignore_stops"}]))
    start(ignoring_stops, run_time=9.0, lease=4.0)
    handle(StopCall(task_id="t"), ignoring_stops, 1.0)
    assert read(ignoring_stops, 3.9).state == "running"
    assert read(ignoring_stops, 4.0).state == "expired"


def test_failing_worker_fails_every_task():
    """Guard against quarantine tests in which tasks of a failing worker succeed."""
    state = WorkerState()
    state.observe(FaultList(faults=[{"kind": "fail_tasks"}]))
    start(state, run_time=1.0, result="x")
    assert (read(state, 1.0).state, read(state, 1.0).result) == ("failed", "")


def test_accelerators_are_never_oversubscribed():
    """Guard against two tasks on the same accelerators."""
    state = WorkerState(accelerators=3)
    start(state, "a")
    with pytest.raises(NoCapacityError):
        start(state, "b")
    start(state, "b", now=1.0)


def test_usage_is_reported_with_the_lag():
    """Guard against tests in which usage reports are always current."""
    state = WorkerState(usage_lag=2.0)
    start(state, run_time=9.0)
    assert handle(ReadUsage(), state, 1.0) is None
    assert handle(ReadUsage(), state, 2.5).accelerators == 2
