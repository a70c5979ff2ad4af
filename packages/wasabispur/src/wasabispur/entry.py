"""Wire the actors of an entry instance."""

from __future__ import annotations

import asyncio
from random import Random

from grpclib.server import Server

from wasabispur_core.error import AddressInUseError
from wasabispur_core.log_event import PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.timer import TimerService
from wasabispur_runtime.codec import MessageCodec
from wasabispur_runtime.log import configure_log, log
from wasabispur_runtime.table_client import TableClient

from .bridge import Bridge
from .control_service import ControlService
from .entry_actors import build_actors
from .entry_settings import EntrySettings
from .http_api import build_application, VersionOneResource
from .http_server import HttpServer


async def run_entry(
    settings: EntrySettings, timers: TimerService, stop: asyncio.Event
) -> None:
    """Run an entry instance until stop is set, then shut down gracefully."""
    configure_log(settings.entry_id, settings.log_level)
    table = TableClient(timers, settings.table_url, Random())
    actors = build_actors(settings, timers, table)
    table.start()
    actors.start()
    control = Server([ControlService(settings, actors.context)], codec=MessageCodec())
    bridge = Bridge(asyncio.get_running_loop())
    http = HttpServer(
        build_application(VersionOneResource(bridge, actors)),
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
    await actors.close()
    await table.close()
    log(PROCESS_STOPPED, process=settings.entry_id)


async def start_control(server: Server, settings: EntrySettings) -> None:
    """Bind the control port; raise AddressInUseError if another process holds it."""
    try:
        await server.start(settings.host, settings.control_port)
    except OSError as error:
        raise AddressInUseError(
            f"control address {settings.host}:{settings.control_port} can't be "
            f"bound: {error.strerror}",
            "choose a free port in control_port or stop its holder",
        ) from error
