"""Start the actors of an agent, and finish its work at a planned stop."""

from __future__ import annotations

import asyncio

from wasabispur_core.log_event import PROCESS_DRAINING, PROCESS_STOPPED
from wasabispur_runtime.log import log

from .bundle_actor import BundleActor
from .endpoint_runner import EndpointRunner
from .worker_runner import WorkerRunner

Runner = EndpointRunner | WorkerRunner


def start_agent(runner: Runner, bundles: BundleActor) -> None:
    """Start the actors, and announce the agent to its entries."""
    runner.start()
    bundles.start()
    for link in runner.links.values():
        link.start()


async def stop_agent(agent_id: str, runner: Runner, bundles: BundleActor) -> None:
    """Finish the work in progress, and close the actors."""
    log(PROCESS_DRAINING, process=agent_id)
    await runner.drain()
    await runner.close()
    await bundles.close()
    await asyncio.gather(*(link.close() for link in runner.links.values()))
    log(PROCESS_STOPPED, process=agent_id)
