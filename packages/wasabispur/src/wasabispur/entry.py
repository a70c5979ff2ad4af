"""Run an entry instance: build its actors and servers and connect them."""

from __future__ import annotations

import asyncio

from wasabispur_core.command import SendToEntry
from wasabispur_core.error import AddressInUseError
from wasabispur_core.log_event import PROCESS_DRAINING, PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.protocol import Leaving
from wasabispur_core.timer import TimerService
from wasabispur_runtime.log import configure_log, log
from wasabispur_runtime.metrics import registry
from wasabispur_runtime.timer_service import sleep

from .bridge import Bridge
from .bundle_resource import BundleResource
from .control_server import ControlServer
from .control_service import ControlService
from .entry_actors import build_actors
from .entry_settings import EntrySettings
from .http_api import build_application, VersionOneResource
from .http_server import HttpServer
from .job_actors import build_job_actors
from .job_resource import JobResource
from .member_resource import MemberResource
from .metrics_reader import MetricsReader
from .metrics_resource import MetricsResource
from .organisation_resource import OrganisationResource
from .request_metrics import RequestMetrics

DRAIN_DELAY = 2.0
"""Seconds for the load balancer to see /readyz fail before requests are refused."""


async def run_entry(
    settings: EntrySettings, timers: TimerService, stop: asyncio.Event
) -> None:
    """Run an entry instance until stop is set, then shut down gracefully."""
    http_limits = settings.http_limits
    configure_log(settings.entry_id, settings.log_level)
    registry.configure(settings.entry_id)
    actors = build_actors(settings, timers)
    request_metrics = RequestMetrics(registry)
    actors.dispatcher.observer = request_metrics.observe
    actors.start()
    control = ControlServer(
        ControlService(settings, actors.context), timers, settings.session_limit
    )
    bridge = Bridge(asyncio.get_running_loop())
    metrics = MetricsReader(
        timers,
        registry,
        settings.entry_id,
        {actor.name: actor.mailbox.qsize for actor in actors.in_start_order()},
        request_metrics.counts,
    )
    metrics.start()
    resources = VersionOneResource(bridge, actors.dispatcher)
    resources.members = MemberResource(bridge, actors.membership)
    jobs = None
    if actors.bundles is not None:
        jobs = build_job_actors(
            settings, timers, actors.membership, actors.bundles.table
        )
        actors.bundles.manager.listeners += jobs.schedulers.values()
        resources.jobs = JobResource(bridge, jobs.frontend, settings.data_centre)
        resources.organisations = OrganisationResource(resources.jobs)
        jobs.start()
        resources.bundles = BundleResource(
            bridge, actors.bundles.changes, actors.bundles.manager
        )
    resources.metrics = MetricsResource(bridge, metrics)
    http = HttpServer(
        build_application(resources),
        settings.host,
        settings.http_port,
        settings.http_threads,
        http_limits,
    )
    await start_control(control, settings)
    http.start()
    log(PROCESS_STARTED, process=settings.entry_id)
    await stop.wait()
    actors.membership.post(SendToEntry(entry_id="", message=Leaving()))
    log(PROCESS_DRAINING, process=settings.entry_id)
    resources.readiness.ready = False
    await sleep(timers, DRAIN_DELAY)
    await actors.dispatcher.drain()
    await asyncio.to_thread(http.stop)
    control.close()
    await control.wait_closed()
    await metrics.close()
    if jobs is not None:
        await jobs.close()
    await actors.close()
    log(PROCESS_STOPPED, process=settings.entry_id)


async def start_control(server: ControlServer, settings: EntrySettings) -> None:
    """Bind the control port; raise AddressInUseError if that fails."""
    try:
        await server.start(settings.host, settings.control_port)
    except OSError as error:
        raise AddressInUseError(
            f"control address {settings.host}:{settings.control_port} can't be "
            f"bound: {error.strerror}",
            "choose a free port in control_port or stop the process that uses it",
        ) from error
