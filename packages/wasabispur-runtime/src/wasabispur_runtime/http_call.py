"""Call a service of the platform over HTTP, with limits on time and size."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import singledispatch

import urllib3

from .bounded_response import bounded_pool

POOL_TIMEOUT = 1
CONNECT_TIMEOUT = 0.5
CALL_TIMEOUT = 2.0
"""Limits in seconds on the wait for a free connection, on connecting, and on a call.

They bound the time for which a hung connection blocks a thread.
"""

CHUNK_BYTES = 64 * 1024
"""Bytes of a response that are read at a time."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Represent a complete response; the names of headers ignore case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict, compare=False)


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """Report that no connection was made, so the call had no effect.

    refused is set if the connection was refused: no process listens at the address.
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """Report that no complete response arrived; the call may have had an effect.

    timed_out is set if the connection was intact, and the response late. too_long is
    set if the response exceeds the caller's limit, as a repetition would, too.
    """

    reason: str
    timed_out: bool = False
    too_long: bool = False


HttpResult = HttpResponse | RequestNotSent | ResponseLost


@singledispatch
def failure_text(result: HttpResult) -> str:
    """Return a short reason why a call was not successful."""
    return "no answer"


@failure_text.register(RequestNotSent)
@failure_text.register(ResponseLost)
def _(result: RequestNotSent | ResponseLost) -> str:
    return result.reason


@failure_text.register
def _(result: HttpResponse) -> str:
    return f"status {result.status}"


class HttpClient:
    """Make calls to one service of the platform over a connection pool."""

    def __init__(
        self, url: str, connections: int, timeout: float = CALL_TIMEOUT
    ) -> None:
        self.timeout = timeout
        self.pool = bounded_pool(url, connections)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        limit: int,
        headers: Mapping[str, str] | None = None,
        timeout: float | None = None,
    ) -> HttpResult:
        """Return the response, or why there is none.

        A response of more than limit bytes counts as lost. A timeout in seconds
        replaces the client's default. Besides the wait for a free connection, a call
        ends after twice the timeout at the latest, also if the response trickles in.
        """
        total = timeout or self.timeout
        deadline = time.monotonic() + total
        try:
            response = self.pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, total=total),
                pool_timeout=POOL_TIMEOUT,
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.EmptyPoolError,
        ) as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return RequestNotSent(f"no connection: {type(error).__name__}", refused)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            late = isinstance(error, urllib3.exceptions.ReadTimeoutError)
            return ResponseLost(f"no answer: {type(error).__name__}", timed_out=late)
        return _read_body(response, limit, deadline)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


def _read_body(
    response: urllib3.response.BaseHTTPResponse, limit: int, deadline: float
) -> HttpResult:
    """Read a response, and return its connection to the pool on every way out."""
    complete = False
    try:
        result = _read_all(response, limit, deadline)
        complete = isinstance(result, HttpResponse)
        return result
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return ResponseLost(f"incomplete answer: {type(error).__name__}")
    finally:
        if not complete:
            # The rest of the response must not be taken for the answer to another call.
            response.close()
        response.release_conn()


def _read_all(
    response: urllib3.response.BaseHTTPResponse, limit: int, deadline: float
) -> HttpResult:
    body = bytearray()
    while chunk := response.read1(CHUNK_BYTES, decode_content=False):
        body += chunk
        if len(body) > limit:
            return ResponseLost(f"the answer exceeds {limit} bytes", too_long=True)
        if time.monotonic() > deadline:
            return ResponseLost("the answer took too long", timed_out=True)
    return HttpResponse(response.status, bytes(body), response.headers)
