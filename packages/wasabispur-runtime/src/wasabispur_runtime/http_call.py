"""Call the platform over HTTP with bounds on time and size."""

from __future__ import annotations

import time
from dataclasses import dataclass

import urllib3

CONNECT_TIMEOUT = 0.5
CALL_TIMEOUT = 2.0
"""Bounds in seconds of one call; a hung connection holds a thread no longer."""

CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Hold a complete answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """Report that no connection was made, so the call had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """Report that no complete answer came; the call may have had an effect."""

    reason: str


HttpResult = HttpAnswer | NotSent | Lost


class HttpCaller:
    """Own the connection pool to one service of the platform."""

    def __init__(
        self, url: str, connections: int, timeout: float = CALL_TIMEOUT
    ) -> None:
        self.timeout = timeout
        self.pool = urllib3.connection_from_url(url, maxsize=connections, block=True)

    def call(
        self, method: str, path: str, body: bytes | None, limit: int
    ) -> HttpResult:
        """Return the answer with at most limit bytes, or why there is none."""
        deadline = time.monotonic() + self.timeout
        try:
            response = self.pool.urlopen(
                method,
                path,
                body=body,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, total=self.timeout),
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return NotSent(f"no connection: {type(error).__name__}")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Lost(f"no answer: {type(error).__name__}")
        return _read(response, limit, deadline)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


def _read(
    response: urllib3.response.BaseHTTPResponse, limit: int, deadline: float
) -> HttpResult:
    body = bytearray()
    try:
        for chunk in response.stream(CHUNK_BYTES, decode_content=False):
            body += chunk
            if len(body) > limit:
                response.close()
                return Lost(f"the answer exceeds {limit} bytes")
            if time.monotonic() > deadline:
                response.close()
                return Lost("the answer took too long")
    except (urllib3.exceptions.HTTPError, OSError) as error:
        response.close()
        return Lost(f"incomplete answer: {type(error).__name__}")
    response.release_conn()
    return HttpAnswer(response.status, bytes(body))
