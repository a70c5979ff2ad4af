"""Send chunked bodies from many clients at once, for tests.

The numbers of clients and bytes were fixed before the server bounded what they hold.
"""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from itertools import chain, repeat

from wasabispur_platform_standin.system import API_KEY, PREFIX, ROUTE_HOST

CLIENTS = 600
RECONNECTING_CLIENTS = 120
CROWD_TIME = 5.0
"""Seconds for which a crowd sends; after that its connections stay open."""

SAMPLE_INTERVAL = 0.05
BODY_BYTES = 262_144
"""Length of the largest body that clients may always send."""

OVERSIZED_BYTES = 1024 * 1024 + 65_536
SMALL_CHUNK = b"1\r\nx\r\n"
MEDIUM_CHUNK = b"3ff\r\n" + bytes(1023) + b"\r\n"
EXTENDED_CHUNK = b"1;" + b"e" * 15_000 + b"\r\nx\r\n"
TRAILER = b"t: " + b"v" * 1000 + b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BLOCK_BYTES = 32_768
SEND_BUFFER_BYTES = 65_536
COMPLETED_SHARE = 4
"""One in this number of clients completes its body where a kind has both."""

VALUES_END = b"0]}"
DECODED_CLIENTS = 60
"""Clients that send complete bodies."""

PATHS = ("/v1/instances/w/heartbeat", "/no/route")
"""Paths of the requests; every second client uses one without a route."""

Content = Iterator[bytes]


def head(number: int, fields: bytes = b"") -> bytes:
    """Return the header of a request with a chunked body."""
    path = PATHS[number % len(PATHS)].encode()
    start = b"POST %s HTTP/1.1\r\nHost: a\r\n%s" % (path, fields)
    return start + b"Transfer-Encoding: chunked\r\n\r\n"


def blocks(unit: bytes, count: int) -> Content:
    """Return repetitions of a unit in blocks that are sent at once."""
    in_block = max(BLOCK_BYTES // len(unit), 1)
    whole, rest = divmod(count, in_block)
    return chain(repeat(unit * in_block, whole), (unit * rest,))


def large_chunk(number: int) -> Content:
    """Send one chunk of legal size without its last byte."""
    return chain(
        (head(number), b"%x\r\n" % BODY_BYTES), blocks(bytes(1), BODY_BYTES - 1)
    )


def completed_large_chunk(number: int) -> Content:
    """Send one chunk of legal size and the end of the body."""
    return chain(large_chunk(number), (bytes(1) + b"\r\n" + LAST_CHUNK,))


def small_chunks(number: int) -> Content:
    """Send a body of legal size in chunks of one byte, without the last of them."""
    return chain((head(number),), blocks(SMALL_CHUNK, BODY_BYTES - 1))


def mixed_chunks(number: int) -> Content:
    """Send large and small chunks, and complete some of the bodies."""
    if number % COMPLETED_SHARE == 0:
        return completed_large_chunk(number)
    return (large_chunk if number % 2 else small_chunks)(number)


def oversized_chunks(number: int) -> Content:
    """Send chunks past the largest body."""
    count = OVERSIZED_BYTES // len(MEDIUM_CHUNK)
    return chain((head(number),), blocks(MEDIUM_CHUNK, count))


def chunk_extensions(number: int) -> Content:
    """Send chunks of one byte with long extensions."""
    return chain((head(number),), blocks(EXTENDED_CHUNK, BODY_BYTES - 1))


def endless_trailers(number: int) -> Content:
    """Send trailers without end after the last chunk."""
    start = head(number) + SMALL_CHUNK + b"0\r\n"
    return chain((start,), blocks(TRAILER, OVERSIZED_BYTES))


def many_fields(number: int) -> Content:
    """Send many short header fields, and a body that stops short."""
    fields = b"".join(b"x-%d: v\r\n" % n for n in range(250))
    return chain((head(number, fields),), blocks(SMALL_CHUNK, 100))


KINDS: tuple[Callable[[int], Content], ...] = (
    large_chunk,
    small_chunks,
    mixed_chunks,
    oversized_chunks,
    chunk_extensions,
    endless_trailers,
    many_fields,
)


def decoded_body(target: bytes, unit: bytes) -> Content:
    """Send a complete body of legal size that decodes to very many values."""
    start = b'{"x": ['
    values = unit * ((BODY_BYTES - len(start) - len(VALUES_END)) // len(unit))
    body = start + values + VALUES_END
    fields = b"Host: %s\r\nAuthorization: Bearer %s\r\n" % (
        ROUTE_HOST.encode(),
        API_KEY.encode(),
    )
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return iter((b"POST %s HTTP/1.1\r\n" % target + fields + length + body,))


def many_numbers(number: int) -> Content:
    """Send a job with an unknown field that is a long list of numbers."""
    return decoded_body(b"%s%016x" % (PREFIX.encode(), number), b"1,")


def many_lists(number: int) -> Content:
    """Send a heartbeat with an unknown field that is a long list of lists."""
    return decoded_body(PATHS[0].encode(), b"[],")


RECONNECTING = (oversized_chunks, chunk_extensions)
"""Kinds whose few clients connect again when the server closes a connection."""


def every_kind(number: int) -> Content:
    """Send what each kind sends, in turn."""
    return KINDS[number % len(KINDS)](number)


@dataclass(slots=True)
class Client:
    """Hold one connection and what remains to be sent on it."""

    number: int
    connection: socket.socket
    content: Content
    pending: memoryview = memoryview(b"")

    def send(self) -> bool:
        """Send once, and return whether anything remains."""
        if not self.pending:
            self.pending = memoryview(next(self.content, b""))
        if not self.pending:
            return False
        with suppress(BlockingIOError):
            self.pending = self.pending[self.connection.send(self.pending) :]
        return True


class Crowd:
    """Open many connections to one port, send on them, and keep them open."""

    def __init__(
        self, port: int, kind: Callable[[int], Content], clients: int = 0
    ) -> None:
        self.address = ("127.0.0.1", port)
        self.kind = kind
        self.reconnects = kind in RECONNECTING
        self.size = clients or (RECONNECTING_CLIENTS if self.reconnects else CLIENTS)
        self.selector = selectors.DefaultSelector()
        self.connections: dict[int, socket.socket] = {}

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *_: object) -> None:
        for connection in self.connections.values():
            connection.close()
        self.selector.close()

    def run(self, sample: Callable[[], None], duration: float = CROWD_TIME) -> None:
        """Connect once, send for the duration, and call sample all the while."""
        for number in range(len(self.connections), self.size):
            self._connect(number)
        end = time.monotonic() + duration
        due = 0.0
        while (now := time.monotonic()) < end:
            if now >= due:
                sample()
                due = time.monotonic() + SAMPLE_INTERVAL
            for key, _ in self.selector.select(SAMPLE_INTERVAL):
                self._send(key.data)
        sample()

    def _connect(self, number: int) -> None:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.setblocking(False)
        with suppress(BlockingIOError):
            connection.connect(self.address)
        self.connections[number] = connection
        client = Client(number, connection, self.kind(number))
        self.selector.register(connection, selectors.EVENT_WRITE, client)

    def _send(self, client: Client) -> None:
        try:
            remains = client.send()
        except OSError:
            self.selector.unregister(client.connection)
            client.connection.close()
            if self.reconnects:
                self._connect(client.number)
            return
        if not remains:
            self.selector.unregister(client.connection)
