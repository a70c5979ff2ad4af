"""Build the actors of an agent beside a worker and run them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.jobs.task import former_lease_end, TaskState
from wasabispur_core.jobs.task_action import task_chart
from wasabispur_core.log_event import PROCESS_STARTED
from wasabispur_core.protocol import Announce, Heartbeat
from wasabispur_core.timer import TimerService
from wasabispur_runtime.log import log

from .agent_lifecycle import start_agent, stop_agent
from .agent_settings import AgentSettings
from .bundle_actor import build_announce_callback, build_bundle_actor
from .entry_link import EntryLink
from .entry_routing import EntryMessageRouter
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
    state = TaskState(
        settings.data_centre,
        settings.accelerators,
        chart,
        former_lease_end=former_lease_end(timers.now()),
    )
    runner = WorkerRunner(timers, state, WorkerClient(settings.local_url))
    bundles = build_bundle_actor(settings, timers, runner.links)
    bundles.listeners.append(runner)
    router = EntryMessageRouter(runner=runner, bundles=bundles)
    bundle_state = bundles.state
    for address in settings.entries:
        runner.links[address] = EntryLink(
            address,
            timers,
            announce=build_announce_callback(announce, address in near, bundle_state),
            heartbeat=lambda sequence: build_heartbeat(
                sequence, state, timers.now(), bundle_state.version
            ),
            receiver=router.post,
            random=Random(),
            welcome_receiver=runner.post,
        )
    log(PROCESS_STARTED, process=settings.agent_id)
    # The agent announces itself only when no task runs at the worker. A start of an
    # earlier agent process may still take effect until former_lease_end.
    stopping_previous = asyncio.create_task(runner.stop_previous_tasks())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait(
        (stopping_previous, stopping), return_when=asyncio.FIRST_COMPLETED
    )
    if stopping_previous.done():
        start_agent(runner, bundles)
    await stopping
    stopping_previous.cancel()
    await stop_agent(settings.agent_id, runner, bundles)


def build_heartbeat(
    sequence: int, state: TaskState, now: float, bundle_version: int
) -> Heartbeat:
    """Return the next heartbeat, with the clock reading that anchors leases."""
    return Heartbeat(
        sequence=sequence,
        bundle_version=bundle_version,
        in_flight=len(state.tasks),
        clock=now,
    )
