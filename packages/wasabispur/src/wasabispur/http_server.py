"""Run an HTTP server whose clients can't exhaust the process's resources."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import cache
from typing import Any

import cherrypy

from wasabispur_core.chart import Chart, ChartCatalogue
from wasabispur_core.error import AddressInUseError
from wasabispur_core.http_budget import CONNECTION_QUEUE_SIZE, RECEIVE_BUFFER_BYTES
from wasabispur_core.http_connection import http_connection_chart, HttpConnections
from wasabispur_core.http_limits import HttpLimits

from .client_connection import ClientConnection
from .http_loop import shared_loop
from .http_refusal import overloaded, RefusalCounter
from .http_wsgi import call_application, Endpoints, HttpReply, HttpRequest

SHUTDOWN_TIMEOUT = 2.5
"""Seconds to wait for the requests in progress during a planned stop."""

LAST_REQUEST_TIME = 0.05
"""Seconds at a planned stop to read requests that have already arrived."""

ACCEPT_PAUSE = 0.1
"""Seconds until the next attempt after a connection could not be accepted."""

STOPPED_STATES = frozenset(("idle", "lingering"))
"""States in which a connection has no request that a planned stop has to finish."""

cherrypy.config.update({"environment": "embedded", "log.screen": False})


class HttpServer:
    """Serve one WSGI application on one port.

    Connections are served on the event loop that all servers of the process share.
    Complete requests are passed to the application on the given number of threads.
    An application that never waits needs none and is called on the event loop, which
    costs less.
    """

    def __init__(
        self,
        application: Any,
        host: str,
        port: int,
        threads: int,
        limits: HttpLimits | None = None,
        name: str = "http",
    ) -> None:
        self.application = application
        self.address = (host, port)
        self.threads = threads
        self.limits = limits or HttpLimits()
        self.refusals = RefusalCounter(name)
        self.pool = ThreadPoolExecutor(max(threads, 1), thread_name_prefix=name)
        self.listener: socket.socket | None = None
        self.table = HttpConnections(self.limits, _connection_chart())
        self.connections: dict[asyncio.Task[None], ClientConnection] = {}
        self.accepting: asyncio.Task[None] | None = None
        self.in_progress = 0
        self.closing = False

    def bind(self) -> None:
        """Bind the port; raise AddressInUseError if that fails."""
        host, port = self.address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            self.listener = socket.create_server(
                self.address, family=family, backlog=CONNECTION_QUEUE_SIZE
            )
        except OSError as error:
            raise AddressInUseError(
                f"HTTP address {host}:{port} can't be bound: {error}",
                "choose a free port in http_port or stop the process that uses it",
            ) from error
        self.listener.setblocking(False)
        # Connections inherit the options of the listening socket.
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        """Bind the port and start to serve; raise AddressInUseError if that fails."""
        self.bind()
        shared_loop().run(self._open())

    def stop(self) -> None:
        """Stop accepting and finish the requests in progress."""
        shared_loop().run(self.drain())

    async def _open(self) -> None:
        self.accepting = asyncio.create_task(self._accept_all())

    async def _accept_all(self) -> None:
        assert self.listener is not None
        loop = asyncio.get_running_loop()
        while True:
            try:
                client, address = await loop.sock_accept(self.listener)
            except OSError:
                # The process is probably out of descriptors.
                self.refusals.count("accept")
                self.table.close_one()
                await asyncio.sleep(ACCEPT_PAUSE)
                continue
            self._serve(client, address[:2])
            # Accepting a connection that already waits does not suspend this task, and
            # connections that were closed to make room release their sockets on theirs.
            await asyncio.sleep(0)

    def _serve(self, client: socket.socket, address: tuple[str, int]) -> None:
        """Serve a new connection on its own task, or close it if there is no room."""

        def close() -> None:
            self.refusals.count("closed")
            client_connection.release()
            task.cancel()

        connection = self.table.admit(address[0], close)
        if connection is None:
            self.refusals.count("connections")
            client.close()
            return
        client_connection = ClientConnection(
            connection,
            self.table,
            client,
            Endpoints(client=address, server=self.address),
            self._handle,
            self.refusals,
        )
        client_connection.closing = self.closing
        task = asyncio.create_task(client_connection.run())
        self.connections[task] = client_connection
        task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task[None]) -> None:
        """Close the socket of a connection whose task has ended, begun or not."""
        self.connections.pop(task).close()

    async def _handle(self, request: HttpRequest, endpoints: Endpoints) -> HttpReply:
        """Pass a complete request to the application; raise HttpRefusal."""
        if not self.threads:
            return call_application(self.application, request, endpoints)
        if self.in_progress >= self.threads + self.limits.waiting:
            raise overloaded("waiting")
        self.in_progress += 1
        try:
            return await self._call(request, endpoints)
        finally:
            self.in_progress -= 1

    def _call(
        self, request: HttpRequest, endpoints: Endpoints
    ) -> asyncio.Future[HttpReply]:
        """Call the application on a thread of the pool.

        The result takes a shorter way than through run_in_executor, which chains two
        futures.
        """
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[HttpReply] = loop.create_future()

        def deliver(result: HttpReply) -> None:
            if not reply.done():
                reply.set_result(result)

        def call() -> None:
            result = call_application(self.application, request, endpoints)
            loop.call_soon_threadsafe(deliver, result)

        self.pool.submit(call)
        return reply

    async def drain(self) -> None:
        """Stop accepting and finish the requests in progress, on the servers' loop."""
        self.closing = True
        for client_connection in self.connections.values():
            client_connection.closing = True
        if self.accepting is not None:
            await asyncio.sleep(LAST_REQUEST_TIME)
            self.accepting.cancel()
        if self.listener is not None:
            self.listener.close()
        for task, client_connection in self.connections.items():
            if client_connection.connection.lifecycle.state in STOPPED_STATES:
                task.cancel()
        if self.connections:
            await asyncio.wait(self.connections, timeout=SHUTDOWN_TIMEOUT)
        for task in self.connections:
            task.cancel()
        if self.connections:
            await asyncio.wait(self.connections)
        self.pool.shutdown(wait=False)


@cache
def _connection_chart() -> Chart:
    return http_connection_chart(ChartCatalogue())


def stop_servers(servers: Sequence[HttpServer]) -> None:
    """Stop several servers at the same time, so that each has the whole time limit."""

    async def drain() -> None:
        await asyncio.gather(*(server.drain() for server in servers))

    shared_loop().run(drain())
