"""Wire the actors of an agent beside a worker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import PROCESS_DRAINING, PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.protocol import Announce, Heartbeat
from wasabispur_core.task import TaskState
from wasabispur_core.task_action import task_chart
from wasabispur_core.timer import TimerService
from wasabispur_runtime.log import log

from .agent_settings import AgentSettings
from .bundle_holder import announcer, build_holder
from .entry_link import EntryLink
from .entry_routing import AgentActors
from .worker_client import WorkerClient
from .worker_runner import WorkerRunner


async def run_worker_agent(
    settings: AgentSettings,
    timers: TimerService,
    stop: asyncio.Event,
    announce: Callable[[bool, int], Announce],
    near: frozenset[str],
) -> None:
    """Run an agent beside a worker until stop is set, then stop its tasks."""
    chart = task_chart(ChartCatalogue())
    state = TaskState(settings.data_centre, settings.accelerators, chart)
    runner = WorkerRunner(timers, state, WorkerClient(settings.local_url))
    bundles = build_holder(settings, timers, runner.links)
    actors = AgentActors(runner=runner, bundles=bundles)
    version = bundles.state
    for address in settings.entries:
        runner.links[address] = EntryLink(
            address,
            timers,
            announce=announcer(announce, address in near, version),
            heartbeat=lambda sequence: beat(
                sequence, state, timers.now(), version.version
            ),
            receiver=actors.post,
            random=Random(),
            welcomed=runner.post,
        )
    log(PROCESS_STARTED, process=settings.agent_id)
    # The agent announces itself only when nothing runs, so that its word on a
    # task that it does not know is proof that the task does not run.
    clearing = asyncio.create_task(runner.clear_worker())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((clearing, stopping), return_when=asyncio.FIRST_COMPLETED)
    if clearing.done():
        runner.start()
        bundles.start()
        for link in runner.links.values():
            link.start()
    await stopping
    clearing.cancel()
    log(PROCESS_DRAINING, process=settings.agent_id)
    await runner.drain()
    await runner.close()
    await bundles.close()
    await asyncio.gather(*(link.close() for link in runner.links.values()))
    log(PROCESS_STOPPED, process=settings.agent_id)


def beat(sequence: int, state: TaskState, now: float, bundle_version: int) -> Heartbeat:
    """Return the next heartbeat with the clock that anchors leases."""
    return Heartbeat(
        sequence=sequence,
        bundle_version=bundle_version,
        in_flight=len(state.tasks),
        clock=now,
    )
