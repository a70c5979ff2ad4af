"""Test that an unexpected error in a blocking call gets an answer."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from tests.stream.harness import run

from wasabispur_agent.worker_caller import WorkerCaller
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.storage.feed import FeedHealth
from wasabispur_core.workload.agent.runner_message import ListFailed, ListRuns
from wasabispur_runtime.table_feed import FeedSource, TableFeed
from wasabispur_runtime.timer_service import LoopTimerService

ERRORS = (RecursionError("too deep"), RuntimeError("unexpected"), KeyError("key"))


def failing_transport(error: Exception):
    def transport(*args):
        raise error

    return transport


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_feed_reports_a_call_that_failed_and_retries(error):
    """Guard against a feed that ends without a word after an unexpected error."""

    async def main() -> None:
        received: asyncio.Queue = asyncio.Queue()
        calls = []

        def transport(command, client):
            calls.append(command)
            raise error

        feed = TableFeed(
            LoopTimerService(asyncio.get_running_loop()),
            FeedSource(
                url="http://127.0.0.1:1",
                transport=transport,
                table="report",
                prefixes=("report/r0/",),
            ),
            received.put_nowait,
            Random(1),
            ChartCatalogue(),
        )
        feed.start()
        message = await asyncio.wait_for(received.get(), 5)
        assert message == FeedHealth(table="report", healthy=False)
        while len(calls) < 2:
            await asyncio.sleep(0.05)
        await feed.close()

    run(main())


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_worker_call_that_failed_is_answered(error):
    """Guard against an agent that never polls a worker again."""

    async def main() -> None:
        timers = LoopTimerService(asyncio.get_running_loop())
        caller = WorkerCaller(timers, failing_transport(error))
        received: asyncio.Queue = asyncio.Queue()
        caller.receiver = received.put_nowait
        caller.start()
        caller.post(
            ListRuns(
                worker_id="w",
                incarnation="1",
                address="127.0.0.1:1",
                epoch=1,
                acknowledged=0,
                wait=0.0,
                lease_end=0.0,
            )
        )
        assert isinstance(await asyncio.wait_for(received.get(), 5), ListFailed)
        await caller.close()

    run(main())
