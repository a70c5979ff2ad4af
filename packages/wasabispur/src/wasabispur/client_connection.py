"""Serve one client's connection to an HTTP server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus

import h11

from wasabispur_core.http_connection import (
    BodyBytesRead,
    ConnectionEnded,
    HeaderRead,
    HttpConnection,
    HttpConnections,
    RequestBegun,
    RequestRead,
    RequestRefused,
    ResponseReady,
    ResponseWritten,
)
from wasabispur_core.http_limits import HttpLimits
from wasabispur_core.log_event import HTTP_REQUEST_FAILED
from wasabispur_core.message import Message
from wasabispur_runtime.log import log_failure

from .http_parser import (
    has_body,
    incomplete,
    is_chunked,
    malformed,
    RequestParser,
)
from .http_refusal import HttpRefusal, overloaded, RefusalCounter, too_slow
from .http_wsgi import Endpoints, HttpReply, HttpRequest

READ_BYTES = 16 * 1024
"""Bytes that are read at a time; a header may exceed its limit by this."""

Handler = Callable[[HttpRequest, Endpoints], Awaitable[HttpReply]]


class ClientConnection:
    """Own the socket of one connection, and serve its requests one after another.

    The next request is read when the response to the one before has been written.
    """

    def __init__(
        self,
        connection: HttpConnection,
        table: HttpConnections,
        client: socket.socket,
        endpoints: Endpoints,
        handle: Handler,
        counter: RefusalCounter,
    ) -> None:
        self.connection = connection
        self.table = table
        self.limits: HttpLimits = table.limits
        self.socket = client
        self.endpoints = endpoints
        self.handle = handle
        self.counter = counter
        self.loop = asyncio.get_running_loop()
        self.parser = RequestParser(self.limits)
        self.read_at_once = False
        self.closing = False

    async def run(self) -> None:
        """Serve requests until either end closes the connection."""
        try:
            while await self._serve_request():
                pass
        except asyncio.CancelledError:
            # A task that ends as cancelled keeps the exception, whose frames would
            # keep the connection's objects until a garbage collection.
            pass
        except TimeoutError:
            self.counter.count("slow-response")
        except OSError:
            # The client closed the connection, so nobody waits for a response.
            pass
        except Exception as error:
            log_failure(HTTP_REQUEST_FAILED, path="", error=str(error))

    def close(self) -> None:
        """Close the socket and release the connection's share of the budgets."""
        self.notify(ConnectionEnded())
        self.release()
        self.socket.close()

    def release(self) -> None:
        """Free the received bytes at once, not when the task has ended."""
        self.parser.clear()

    def notify(self, message: Message) -> None:
        """Report an event of the connection to the table of connections."""
        self.table.handle(self.connection, message)

    async def _serve_request(self) -> bool:
        """Serve one request and return whether another may follow."""
        try:
            if not await self._wait_for_request():
                return False
            content = await self._respond()
        except HttpRefusal as refusal:
            content = self._encode_refusal(refusal)
        except h11.RemoteProtocolError as error:
            content = self._encode_refusal(malformed(error))
        else:
            return await self._deliver(content)
        # The client may linger, but the exception and its frames are not kept.
        await self._send_refusal(content)
        return False

    async def _deliver(self, content: bytes) -> bool:
        """Send a response and return whether another request may follow."""
        sent = self._send_at_once(content)
        if sent < len(content):
            pending = self.parser.pending
            self.notify(ResponseReady(size=len(content), remaining=pending))
            await self._send(memoryview(content)[sent:])
        if not self.parser.start_next():
            return False
        self.notify(ResponseWritten(remaining=self.parser.pending))
        return True

    async def _respond(self) -> bytes:
        """Read a request and return the encoded response.

        The request and the reply are not kept while the client takes the response.
        """
        request = await self._read_request()
        reply = await self.handle(request, self.endpoints)
        return self.parser.encode(reply, self.closing or is_chunked(request))

    async def _wait_for_request(self) -> bool:
        """Wait for the first bytes of a request; return False if none arrive."""
        if self.parser.pending:
            # A client with many pipelined requests must not keep others waiting.
            await asyncio.sleep(0)
        else:
            try:
                async with asyncio.timeout(self.limits.idle_time):
                    data = await self._read()
            except TimeoutError:
                return False
            if not data:
                return False
            self._feed(data)
        return True

    async def _read(self) -> bytes:
        """Return the next bytes from the socket, or none at its end.

        The bytes are read by the task that takes them, so that bytes of many
        connections don't wait in memory for their tasks.
        """
        if self.read_at_once:
            # A client that always has more to read must not keep others waiting.
            await asyncio.sleep(0)
        self.read_at_once = True
        while True:
            try:
                return self.socket.recv(READ_BYTES)
            except BlockingIOError:
                await self._wait_until_readable()
                self.read_at_once = False

    async def _wait_until_readable(self) -> None:
        readable = self.loop.create_future()
        self.loop.add_reader(self.socket, self._stop_waiting, readable)
        try:
            await readable
        finally:
            if not readable.done() or readable.cancelled():
                self.loop.remove_reader(self.socket)

    def _stop_waiting(self, readable: asyncio.Future[None]) -> None:
        # The socket stays readable until its task runs, and would be reported again.
        self.loop.remove_reader(self.socket)
        if not readable.done():
            readable.set_result(None)

    def _feed(self, data: bytes) -> None:
        """Pass received bytes to the parser; raise HttpRefusal if there is no room."""
        self.parser.feed(data)
        self._hold()

    def _hold(self) -> None:
        """Count what the request holds; raise HttpRefusal if there is no room."""
        if not self.table.hold(self.connection, self.parser.memory):
            raise overloaded("buffer")

    async def _read_request(self) -> HttpRequest:
        """Return the next request; raise HttpRefusal or h11.RemoteProtocolError."""
        header = self.parser.parse_header()
        if header is None:
            self.notify(RequestBegun())
            try:
                async with asyncio.timeout(self.limits.header_time):
                    header = await self._read_header()
            except TimeoutError as error:
                raise too_slow("header") from error
        self._hold()
        body = b""
        if has_body(header):
            self.parser.start_body(header)
            self.notify(HeaderRead())
            try:
                async with asyncio.timeout(self.limits.grace_time) as deadline:
                    body = await self._read_body(deadline)
            except TimeoutError as error:
                raise too_slow("body") from error
        else:
            self.parser.skip_body()
        self.notify(RequestRead())
        return HttpRequest(
            method=header.method,
            target=header.target,
            version=header.http_version,
            headers=header.headers.raw_items(),
            body=body,
        )

    async def _read_header(self) -> h11.Request:
        while True:
            await self._receive()
            header = self.parser.parse_header()
            if header is not None:
                return header

    async def _read_body(self, deadline: asyncio.Timeout) -> bytes:
        begun = self.loop.time()
        if interim := self.parser.encode_continue():
            await self._send(interim)
        while not self.parser.read_body():
            self.notify(BodyBytesRead(framing=self.parser.framing))
            earned = self.parser.body_size / self.limits.min_rate
            deadline.reschedule(begun + self.limits.grace_time + earned)
            await self._receive()
        return self.parser.take_body()

    async def _receive(self) -> None:
        """Read once from the socket; raise HttpRefusal at its end.

        A client that has closed only its sending side still reads the reason.
        """
        data = await self._read()
        if not data:
            raise incomplete()
        self._feed(data)

    def _send_at_once(self, content: bytes) -> int:
        """Write what the operating system takes at once; return the number of bytes."""
        try:
            return self.socket.send(content)
        except BlockingIOError:
            return 0

    async def _send(self, content: bytes | memoryview) -> None:
        """Write to the client; raise TimeoutError if it reads too slowly."""
        limit = self.limits.grace_time + len(content) / self.limits.min_rate
        async with asyncio.timeout(limit):
            await self.loop.sock_sendall(self.socket, content)

    def _encode_refusal(self, refusal: HttpRefusal) -> bytes:
        """Return the encoded reason, and keep nothing else of the request."""
        self.counter.count(refusal.cause)
        if not self.parser.can_refuse:
            return b""
        body = refusal.body()
        reply = HttpReply(
            status=refusal.status,
            reason=HTTPStatus(refusal.status).phrase.encode(),
            headers=[*refusal.headers(), (b"Content-Length", b"%d" % len(body))],
            body=b"" if self.parser.method == b"HEAD" else body,
        )
        content = self.parser.encode(reply, close=True)
        self.parser.clear()
        self.parser = RequestParser(self.limits)
        self.notify(RequestRefused())
        return content

    async def _send_refusal(self, content: bytes) -> None:
        """Send the reason, and wait until the client has read it."""
        if content:
            await self._send(content)
            await self._linger()

    async def _linger(self) -> None:
        """Read and drop what the client still sends, within bounds.

        Closing a socket with unread bytes resets the connection, and the client would
        lose the response.
        """
        self.socket.shutdown(socket.SHUT_WR)
        dropped = 0
        with suppress(TimeoutError):
            async with asyncio.timeout(self.limits.linger_time):
                while dropped < self.limits.linger_bytes:
                    data = await self._read()
                    if not data:
                        return
                    dropped += len(data)
