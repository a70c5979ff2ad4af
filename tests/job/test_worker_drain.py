"""Test the planned stop of an agent with a worker."""

from __future__ import annotations

import asyncio

from wasabispur_agent.worker_client import TaskList, TaskView
from wasabispur_agent.worker_runner import DRAIN_TIMEOUT, WorkerRunner
from wasabispur_core.timer import FakeTimerService

from .runner import start_task, TASK


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
    timers, runner = start_task(worker)
    async with asyncio.timeout(10):
        tasks = runner.state.tasks
        while tasks.get(TASK) is None or (tasks[TASK].lifecycle.state != "running"):
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
