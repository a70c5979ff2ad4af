"""Bound the time and the header of each response that urllib3 reads."""

from __future__ import annotations

import http.client
import io
import socket
import time
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

HEADER_LIMIT_BYTES = 64 * 1024
"""Largest header of a response, with the interim responses before it."""

LINE_LIMIT_BYTES = 16 * 1024
"""Longest line beside the header, such as the size of a chunk."""


class BoundedSocket(io.RawIOBase):
    """Read a response from a socket until a deadline.

    allowance is the number of bytes that may still be read; None means no bound.
    """

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self.raw = connection.makefile("rb", buffering=0)
        timeout = connection.gettimeout()
        self.deadline = None if timeout is None else time.monotonic() + timeout
        self.allowance: int | None = HEADER_LIMIT_BYTES

    def readable(self) -> bool:
        """Return True, as the buffered reader requires."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read once; raise TimeoutError after the deadline."""
        if self.deadline is not None:
            remaining = self.deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("the response did not end in time")
            self.connection.settimeout(remaining)
        count = self.raw.readinto(buffer)
        if self.allowance is not None:
            self.allowance -= count or 0
            if self.allowance < 0:
                raise http.client.LineTooLong("header")
        return count

    def close(self) -> None:
        """Release the socket, which closes it if its connection is closed."""
        self.raw.close()
        super().close()


class BoundedReader(io.BufferedReader):
    """Read lines of a bounded length."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; raise LineTooLong."""
        if size is not None and size >= 0:
            return super().readline(size)
        line = super().readline(LINE_LIMIT_BYTES)
        if len(line) >= LINE_LIMIT_BYTES:
            raise http.client.LineTooLong("chunk")
        return line


class BoundedResponse(http.client.HTTPResponse):
    """Read a response within the timeout of its connection as a whole.

    The timeout of a socket alone begins anew with each byte.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self.source = BoundedSocket(sock)
        self.fp = BoundedReader(self.source)

    def begin(self) -> None:
        """Read the header."""
        super().begin()
        self.source.allowance = None


class BoundedConnection(HTTPConnection):
    """Connect to a service whose responses are bounded."""

    response_class = BoundedResponse


def bounded_pool(url: str, connections: int) -> urllib3.HTTPConnectionPool:
    """Return a pool that blocks while all of its connections are in use."""
    pool = urllib3.connection_from_url(url, maxsize=connections, block=True)
    pool.ConnectionCls = BoundedConnection
    return pool
