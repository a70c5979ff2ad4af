"""Test the planned stop of an agent with a worker."""

from __future__ import annotations

import asyncio

from wasabispur_agent.worker_client import TaskList, TaskView
from wasabispur_agent.worker_message import ClockReading
from wasabispur_agent.worker_runner import DRAIN_TIMEOUT, WorkerRunner
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.jobs.task import TaskState
from wasabispur_core.jobs.task_action import task_chart
from wasabispur_core.protocol import ReserveTask, StartTask
from wasabispur_core.requests.permit import FromEntry
from wasabispur_core.timer import FakeTimerService

TASK = "job-1.1.0"


class FakeWorker:
    """Simulate a worker with one task that ends on a stop unless stops are ignored."""

    def __init__(self, ignore_stops=False) -> None:
        self.state = "running"
        self.ignore_stops = ignore_stops

    def view(self) -> TaskView:
        return TaskView(task_id=TASK, state=self.state)

    def start(self, reserve, lease, lease_end) -> TaskView:
        return self.view()

    def tasks(self) -> TaskList:
        return TaskList(tasks=(self.view(),), clock=0.0)

    def checkpoint(self, task_id) -> TaskView:
        return self.view()

    def stop(self, task_id) -> TaskView:
        if not self.ignore_stops:
            self.state = "stopped"
        return self.view()


async def running(worker) -> tuple[FakeTimerService, WorkerRunner]:
    timers = FakeTimerService()
    chart = task_chart(ChartCatalogue())
    state = TaskState("atl-1", 8, chart, former_lease_end=0.0)
    runner = WorkerRunner(timers, state, worker)
    runner.clock = ClockReading(time=0.0, read_at=0.0)
    runner.start()
    fields = {
        "task_id": TASK,
        "shard": "atl-1",
        "shard_epoch": 1,
        "gang_epoch": 1,
        "lease": 15.0,
        "anchor": 0.0,
    }
    reserve = ReserveTask(
        job_id="job-1",
        accelerators=1,
        accelerator_ids=(0,),
        command="{}",
        **fields,
    )
    for message in (reserve, StartTask(**fields)):
        runner.post(FromEntry(entry_id="entry", message=message))
    async with asyncio.timeout(10):
        while state.tasks.get(TASK) is None or (
            state.tasks[TASK].lifecycle.state != "running"
        ):
            await asyncio.sleep(0)
    return timers, runner


def test_planned_stop_ends_once_the_worker_has_stopped_its_tasks():
    """Guard against an agent that exits while its worker still runs a task."""

    async def main() -> None:
        worker = FakeWorker()
        _, runner = await running(worker)
        async with asyncio.timeout(10):
            await runner.drain()
        assert worker.state == "stopped"
        assert not runner.state.tasks
        await runner.close()

    asyncio.run(main())


def test_planned_stop_gives_up_on_a_worker_that_ignores_stops():
    """Guard against an agent that never exits because its worker ignores stops."""

    async def main() -> None:
        timers, runner = await running(FakeWorker(ignore_stops=True))
        drain = asyncio.create_task(runner.drain())
        await asyncio.sleep(0)
        assert not drain.done()
        timers.advance(DRAIN_TIMEOUT)
        async with asyncio.timeout(10):
            await drain
        assert runner.state.tasks
        await runner.close()

    asyncio.run(main())
