"""Run a stand-in process: its actors, its HTTP port and its faults.

The state of each stand-in belongs to an actor; HTTP threads send it messages.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, Protocol, runtime_checkable

import cherrypy
from cheroot.wsgi import Server

from wasabispur.bridge import Ask, Bridge
from wasabispur.http_api import CONFIGURATION
from wasabispur.http_request import read_model
from wasabispur_core.error import AddressInUseError
from wasabispur_core.http_budget import CONNECTION_QUEUE_SIZE
from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.log import configure_log

from .fault import Fault, FaultList, FaultPlan, Refuse
from .fault_gateway import gateway_class

REPLY_TIMEOUT = 30.0
"""Seconds that an HTTP thread waits for the reply of an actor."""

HTTP_THREADS = 64

BODY_LIMIT_BYTES = 16 * 1024 * 1024

POLL_INTERVAL = 0.1
"""Seconds between two checks of the server whether to close its port."""

SHUTDOWN_TIMEOUT = 0.5
"""Seconds that requests in progress have to end when the port is closed."""

cherrypy.config.update({"environment": "embedded", "log.screen": False})


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeFault(Message):
    """Request the fault that applies to an HTTP request."""

    method: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplaceFaults(Message):
    """Replace the faults in effect."""

    faults: FaultList


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultsReplaced(Message):
    """Notify the other actors of the faults in effect."""

    faults: FaultList


@runtime_checkable
class FaultObserver(Protocol):
    """Define a state that applies faults that don't act on a single request."""

    def observe(self, faults: FaultList) -> None:
        """Apply the faults in effect to the state."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadFaults(Message):
    """Request the faults in effect."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenPort(Message):
    """Report that the listener has to open its port again."""


@singledispatch
def handle(message: Message, state: Any, now: float) -> Any:
    """Apply a message to the state of a stand-in and return the reply.

    Now is in seconds. A message without a handler is ignored.
    """
    return None


class StateActor(Actor):
    """Apply messages to the state of a stand-in and reply to its HTTP threads."""

    def __init__(self, name: str, timers: TimerService, state: Any) -> None:
        super().__init__(name, timers)
        self.state = state

    def on_ask(self, message: Ask) -> None:
        """Apply a message and set its reply or its error."""
        try:
            reply = handle(message.message, self.state, self.timers.now())
        except Exception as error:
            message.reply.set_exception(error)
            raise
        message.reply.set_result(reply)

    def on_message(self, message: Message) -> None:
        """Apply a message without a reply."""
        handle(message, self.state, self.timers.now())


class FaultControl(StateActor):
    """Apply messages to the fault plan and notify other actors of new faults."""

    def __init__(self, timers: TimerService) -> None:
        super().__init__("faults", timers, FaultPlan())
        self.listener: Actor | None = None
        self.state_actor: Actor | None = None

    def on_ask(self, message: Ask) -> None:
        """Apply a message and pass new faults to the other actors."""
        super().on_ask(message)
        if isinstance(message.message, ReplaceFaults):
            for actor in (self.listener, self.state_actor):
                if actor is not None:
                    actor.post(FaultsReplaced(faults=message.message.faults))


@handle.register
def _(message: TakeFault, state: FaultPlan, now: float) -> Fault | None:
    return state.take(message.method, message.path, now)


@handle.register
def _(message: ReadFaults, state: FaultPlan, now: float) -> FaultList:
    return state.faults()


@handle.register
def _(message: ReplaceFaults, state: FaultPlan, now: float) -> None:
    state.replace(message.faults, now)


@handle.register
def _(message: FaultsReplaced, state: Any, now: float) -> None:
    if isinstance(state, FaultObserver):
        state.observe(message.faults)


class _ReusableServer(Server):
    """Serve HTTP on a port that can be bound again after it was closed."""

    keep_alive_conn_limit = 1024
    expiration_interval = POLL_INTERVAL

    @staticmethod
    def bind_socket(socket_: socket.socket, bind_addr: Any) -> socket.socket:
        """Bind with SO_REUSEADDR, which cheroot doesn't set for port 0."""
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        socket_.bind(bind_addr)
        return socket_


class Listener(Actor):
    """Open and close the HTTP port of a stand-in."""

    def __init__(
        self, timers: TimerService, application: Any, gateway: Any, port: int
    ) -> None:
        super().__init__("listener", timers)
        self.application = application
        self.gateway = gateway
        self.port = port
        self.server: Any = None
        self.serving: asyncio.Future[None] | None = None

    def open_port(self) -> None:
        """Bind the port and serve it on threads; raise AddressInUseError."""
        server = _ReusableServer(
            ("127.0.0.1", self.port),
            self.application,
            numthreads=HTTP_THREADS,
            request_queue_size=CONNECTION_QUEUE_SIZE,
        )
        server.gateway = self.gateway
        server.max_request_body_size = BODY_LIMIT_BYTES
        server.shutdown_timeout = SHUTDOWN_TIMEOUT
        try:
            server.prepare()
        except OSError as error:
            raise AddressInUseError(
                f"HTTP address 127.0.0.1:{self.port} can't be bound: {error}",
                "choose a free port with --port or stop the process that uses it",
            ) from error
        self.port = server.bind_addr[1]
        self.server = server
        loop = asyncio.get_running_loop()
        self.serving = loop.run_in_executor(None, server.serve)

    async def close_port(self) -> None:
        """Close the port and all its connections."""
        if self.server is None or self.serving is None:
            return
        await asyncio.to_thread(self.server.stop)
        await self.serving
        self.server = None

    async def closed(self) -> None:
        """Close the port when the actor ends."""
        await self.close_port()

    async def on_faults_replaced(self, message: FaultsReplaced) -> None:
        """Close the port for the time of a refuse fault, if there is one."""
        for fault in message.faults.faults:
            if isinstance(fault, Refuse):
                await self.close_port()
                self.set_timer("open", fault.seconds, OpenPort())
                return

    def on_open_port(self, message: OpenPort) -> None:
        """Open the port again unless it is open."""
        if self.server is None:
            self.open_port()


class FaultResource:
    """Serve the HTTP resource that returns and replaces the faults in effect."""

    def __init__(self, bridge: Bridge, control: FaultControl) -> None:
        self.bridge = bridge
        self.control = control

    @cherrypy.expose
    def index(self) -> bytes:
        """Return the faults in effect; PUT replaces them first."""
        if cherrypy.request.method == "PUT":
            faults = read_model(FaultList)
            self.bridge.ask(self.control, ReplaceFaults(faults=faults), REPLY_TIMEOUT)
        reply: FaultList = self.bridge.ask(self.control, ReadFaults(), REPLY_TIMEOUT)
        cherrypy.response.headers["Content-Type"] = "application/json"
        return reply.model_dump_json().encode()


BuildRoot = Callable[[Bridge, Actor], Any]


class StandIn:
    """Build, start and close the actors of one stand-in.

    The function build_root returns the root of its HTTP resources.
    """

    def __init__(
        self,
        name: str,
        timers: TimerService,
        state: Any,
        build_root: BuildRoot,
        port: int,
    ) -> None:
        bridge = Bridge(asyncio.get_running_loop())
        self.state_actor = StateActor(name, timers, state)
        self.control = FaultControl(timers)
        root = build_root(bridge, self.state_actor)
        root.faults = FaultResource(bridge, self.control)

        def take_fault(method: str, path: str) -> Fault | None:
            message = TakeFault(method=method, path=path)
            fault: Fault | None = bridge.ask(self.control, message, REPLY_TIMEOUT)
            return fault

        application = cherrypy.Application(root, "", CONFIGURATION)
        gateway = gateway_class(take_fault)
        self.listener = Listener(timers, application, gateway, port)
        self.control.listener = self.listener
        self.control.state_actor = self.state_actor

    def start(self) -> int:
        """Open the port, start the actors and return the port."""
        self.listener.open_port()
        for actor in (self.state_actor, self.control, self.listener):
            actor.start()
        return self.listener.port

    async def close(self) -> None:
        """Close the port, then the other actors."""
        for actor in (self.listener, self.control, self.state_actor):
            await actor.close()


async def run_stand_in(
    name: str,
    state: Any,
    build_root: BuildRoot,
    port: int,
    timers: TimerService,
    stop: asyncio.Event,
) -> None:
    """Run a stand-in until stop is set; print its name and port once it serves."""
    configure_log(name)
    stand_in = StandIn(name, timers, state, build_root, port)
    print(f"{name} port {stand_in.start()}", flush=True)
    await stop.wait()
    await stand_in.close()
