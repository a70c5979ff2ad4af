"""Wire the actors of an entry instance."""

from __future__ import annotations

import asyncio
from random import Random

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.error import AddressInUseError
from wasabispur_core.log_event import PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.request import RequestState
from wasabispur_core.request_chart import request_chart
from wasabispur_core.timer import TimerService
from wasabispur_runtime.log import configure_log, log
from wasabispur_runtime.metrics import registry

from .bridge import Bridge
from .control_server import ControlServer
from .control_service import ControlService
from .entry_settings import EntrySettings
from .http_api import build_application, VersionOneResource
from .http_server import HttpServer
from .membership import Membership
from .metrics_reader import MetricsReader
from .metrics_resource import MetricsResource
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
    dispatcher.observer = RequestMetrics(registry).observe
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
    )
    metrics.start()
    version_1 = VersionOneResource(bridge, dispatcher)
    version_1.metrics = MetricsResource(bridge, metrics)
    http = HttpServer(
        build_application(version_1),
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
    await dispatcher.close()
    await membership.close()
    log(PROCESS_STOPPED, process=settings.entry_id)


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
