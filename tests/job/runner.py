"""Run the worker runner of an agent beside a simulated worker."""

from __future__ import annotations

from typing import Any

from wasabispur_agent.worker_message import ClockReading
from wasabispur_agent.worker_runner import WorkerRunner
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.jobs.task import TaskState
from wasabispur_core.jobs.task_action import task_chart
from wasabispur_core.protocol import ReserveTask, StartTask
from wasabispur_core.requests.permit import FromEntry
from wasabispur_core.timer import FakeTimerService

TASK = "job-1.1.0"
LEASE = 15.0
FIELDS = {"task_id": TASK, "shard": "atl-1", "shard_epoch": 1, "gang_epoch": 1}


def start_task(worker: Any) -> tuple[FakeTimerService, WorkerRunner]:
    """Return a runner with a task that an entry has reserved and started."""
    timers = FakeTimerService()
    chart = task_chart(ChartCatalogue())
    state = TaskState("atl-1", 8, chart, former_lease_end=0.0)
    runner = WorkerRunner(timers, state, worker)
    runner.clock = ClockReading(time=0.0, read_at=0.0)
    runner.start()
    lease = {"lease": LEASE, "anchor": 0.0}
    reserve = ReserveTask(
        job_id="job-1",
        accelerators=1,
        accelerator_ids=(0,),
        command="{}",
        **FIELDS,
        **lease,
    )
    for message in (reserve, StartTask(**FIELDS, **lease)):
        runner.post(FromEntry(entry_id="entry", message=message))
    return timers, runner
