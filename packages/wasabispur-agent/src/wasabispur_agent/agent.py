"""Build the actors of an agent and run them until the process is stopped."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from random import Random

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import PROCESS_STARTED
from wasabispur_core.membership.heartbeat_policy import near_entries
from wasabispur_core.protocol import Announce, Heartbeat, Role
from wasabispur_core.requests.permit import PermitState
from wasabispur_core.requests.permit_action import attempt_chart
from wasabispur_core.timer import TimerService
from wasabispur_runtime.log import configure_log, log

from .agent_lifecycle import start_agent, stop_agent
from .agent_settings import AgentSettings
from .bundle_actor import build_announce_callback, build_bundle_actor
from .endpoint_client import EndpointClient
from .endpoint_runner import EndpointRunner
from .entry_link import EntryLink
from .entry_routing import EntryMessageRouter
from .worker_agent import run_worker_agent


async def run_agent(
    settings: AgentSettings, timers: TimerService, stop: asyncio.Event
) -> None:
    """Run an agent until stop is set, then finish the work in progress."""
    configure_log(settings.agent_id, settings.log_level)
    # Wall-clock time distinguishes the starts of one agent, also after a restart.
    incarnation = time.time_ns()
    announce = partial(build_announcement, settings, incarnation, timers)
    near = near_entries(
        settings.entries,
        settings.entry_regions,
        settings.region,
        settings.data_centre,
        settings.near_entries,
    )
    if settings.role is Role.WORKER:
        await run_worker_agent(settings, timers, stop, announce, near)
        return
    state = PermitState(settings.slots, attempt_chart(ChartCatalogue()), incarnation)
    client = EndpointClient(settings.local_url, settings.connections)
    runner = EndpointRunner(timers, state, client)
    bundles = build_bundle_actor(settings, timers, runner.links)
    bundle_state = bundles.state
    router = EntryMessageRouter(runner=runner, bundles=bundles)
    for address in settings.entries:
        runner.links[address] = EntryLink(
            address,
            timers,
            announce=build_announce_callback(announce, address in near, bundle_state),
            heartbeat=lambda sequence: build_heartbeat(
                sequence, state, bundle_state.version
            ),
            receiver=router.post,
            random=Random(),
        )
    start_agent(runner, bundles)
    log(PROCESS_STARTED, process=settings.agent_id)
    await stop.wait()
    await stop_agent(settings.agent_id, runner, bundles)


def build_announcement(
    settings: AgentSettings,
    incarnation: int,
    timers: TimerService,
    near: bool,
    bundle_version: int,
) -> Announce:
    """Return the message with which an agent announces itself to an entry."""
    return Announce(
        agent_id=settings.agent_id,
        incarnation=incarnation,
        role=settings.role,
        region=settings.region,
        data_centre=settings.data_centre,
        rack=settings.rack,
        service=settings.service,
        slots=settings.slots,
        accelerators=settings.accelerators,
        cores=settings.cores,
        memory=settings.memory,
        near=near,
        bundle_version=bundle_version,
        clock=timers.now(),
    )


def build_heartbeat(
    sequence: int, state: PermitState, bundle_version: int
) -> Heartbeat:
    """Return the next heartbeat of an agent."""
    return Heartbeat(
        sequence=sequence,
        bundle_version=bundle_version,
        in_flight=len(state.attempts),
        free_slots=state.free_slots,
    )
