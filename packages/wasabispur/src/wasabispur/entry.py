"""Wire the actors of an entry instance."""

from __future__ import annotations

import asyncio
from random import Random

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.error import AddressInUseError
from wasabispur_core.log_event import PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.request import RequestState
from wasabispur_core.request_action import request_chart
from wasabispur_core.timer import TimerService
from wasabispur_runtime.log import configure_log, log
from wasabispur_runtime.metrics import registry
from wasabispur_runtime.table_client import TableClient

from .bridge import Bridge
from .control_server import ControlServer
from .control_service import ControlService
from .entry_settings import EntrySettings
from .http_api import build_application, VersionOneResource
from .http_server import HttpServer
from .job_resource import JobResource
from .job_wiring import build_job_actors, JobActors
from .membership import Membership
from .metrics_reader import MetricsReader
from .metrics_resource import MetricsResource
from .organisation_resource import OrganisationResource
from .request_dispatcher import RequestDispatcher
from .request_metrics import RequestMetrics


async def run_entry(
    settings: EntrySettings, timers: TimerService, stop: asyncio.Event
) -> None:
    """Run an entry instance until stop is set, then shut down gracefully."""
    configure_log(settings.entry_id, settings.log_level)
    registry.configure(settings.entry_id)
    membership = Membership(timers)
    state = RequestState(settings.region, request_chart(ChartCatalogue()), Random())
    dispatcher = RequestDispatcher(timers, state, membership)
    request_metrics = RequestMetrics(registry)
    dispatcher.observer = request_metrics.observe
    membership.dispatcher = dispatcher
    membership.start()
    dispatcher.start()
    control = ControlServer(
        ControlService(settings, timers, membership), timers, settings.session_limit
    )
    bridge = Bridge(asyncio.get_running_loop())
    metrics = MetricsReader(
        timers,
        registry,
        settings.entry_id,
        {actor.name: actor.mailbox.qsize for actor in (membership, dispatcher)},
        request_metrics.counts,
    )
    metrics.start()
    resources = VersionOneResource(bridge, dispatcher)
    resources.metrics = MetricsResource(bridge, metrics)
    jobs = start_jobs(settings, timers, membership, bridge, resources)
    http = HttpServer(
        build_application(resources),
        settings.host,
        settings.http_port,
        settings.http_threads,
    )
    await start_control(control, settings)
    http.start()
    log(PROCESS_STARTED, process=settings.entry_id)
    await stop.wait()
    await asyncio.to_thread(http.stop)
    control.close()
    await control.wait_closed()
    await metrics.close()
    if jobs is not None:
        await jobs.close()
    await dispatcher.close()
    await membership.close()
    log(PROCESS_STOPPED, process=settings.entry_id)


def start_jobs(
    settings: EntrySettings,
    timers: TimerService,
    membership: Membership,
    bridge: Bridge,
    resources: VersionOneResource,
) -> JobActors | None:
    """Start the actors that serve jobs if the settings name a table service."""
    if settings.table_url is None:
        return None
    table = TableClient(timers, settings.table_url, Random())
    jobs = build_job_actors(settings, timers, membership, table)
    resources.jobs = JobResource(bridge, jobs.desk, settings.data_centre)
    resources.organisations = OrganisationResource(resources.jobs)
    jobs.start()
    return jobs


async def start_control(server: ControlServer, settings: EntrySettings) -> None:
    """Bind the control port; raise AddressInUseError if another process holds it."""
    try:
        await server.start(settings.host, settings.control_port)
    except OSError as error:
        raise AddressInUseError(
            f"control address {settings.host}:{settings.control_port} can't be "
            f"bound: {error.strerror}",
            "choose a free port in control_port or stop its holder",
        ) from error
