"""Test what an agent concludes about a start that its worker did not answer."""

from __future__ import annotations

import asyncio

import pytest

from wasabispur_agent.worker_client import ErrorResponse, NoResponse, TaskList
from wasabispur_agent.worker_runner import POLL_INTERVAL, WorkerRunner
from wasabispur_core.protocol import Reason, StopTask
from wasabispur_core.requests.permit import FromEntry
from wasabispur_core.timer import FakeTimerService

from .runner import FIELDS, LEASE, start_task, TASK


class SlowWorker:
    """Simulate a worker that answers no first start, and refuses a repeated one."""

    def __init__(self, repeated=None) -> None:
        self.repeated = repeated
        self.starts = 0
        self.stops = 0

    def start(self, reserve, lease, lease_end):
        self.starts += 1
        if self.starts == 1 or self.repeated is None:
            return NoResponse(sent=True)
        return self.repeated

    def tasks(self) -> TaskList:
        return TaskList(tasks=(), clock=0.0)

    def checkpoint(self, task_id):
        return ErrorResponse(404)

    def stop(self, task_id):
        self.stops += 1
        return ErrorResponse(404)


async def settle(condition) -> None:
    """Let threads and messages proceed until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


async def started(worker) -> tuple[FakeTimerService, WorkerRunner]:
    """Return a runner whose only start has not been answered."""
    timers, runner = start_task(worker)
    await settle(lambda: worker.starts)
    return timers, runner


async def poll(timers, seconds=POLL_INTERVAL) -> None:
    """Let some polls of the worker's list pass."""
    for _ in range(round(seconds / POLL_INTERVAL)):
        timers.advance(POLL_INTERVAL)
        await asyncio.sleep(0.01)


def test_unknown_task_has_not_ended_while_its_start_may_take_effect():
    """Guard against a stopped task that is told as ended and started afterwards."""

    async def main() -> None:
        worker = SlowWorker()
        timers, runner = await started(worker)
        stop = StopTask(**FIELDS, reason=Reason.CANCELLED)
        runner.post(FromEntry(entry_id="entry", message=stop))
        await settle(lambda: worker.stops)
        await poll(timers, 4.0)
        assert TASK in runner.state.tasks
        await poll(timers, LEASE)
        assert TASK not in runner.state.tasks
        await runner.close()

    asyncio.run(main())


@pytest.mark.parametrize("repeated", [ErrorResponse(409), NoResponse(sent=False)])
def test_refused_repeat_does_not_end_a_task_whose_first_start_may_take_effect(repeated):
    """Guard against a refusal of the second call that is taken for both calls."""

    async def main() -> None:
        worker = SlowWorker(repeated)
        timers, runner = await started(worker)
        await settle(lambda: runner.unanswered)
        await poll(timers, 4.0)
        assert worker.starts > 1
        assert TASK in runner.state.tasks
        await poll(timers, LEASE)
        assert TASK not in runner.state.tasks
        await runner.close()

    asyncio.run(main())
