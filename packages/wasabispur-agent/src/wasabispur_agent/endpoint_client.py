"""Call the endpoint beside the agent over HTTP."""

from __future__ import annotations

import time

import urllib3

from wasabispur_core.limit import BODY_LIMIT_BYTES
from wasabispur_core.message import Message
from wasabispur_core.protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    Reason,
    StartAttempt,
)
from wasabispur_runtime.bounded_response import bounded_pool

CONNECT_TIMEOUT = 1.0
"""Seconds within which the endpoint has to accept a connection."""

HEADER_LIMIT_BYTES = 32 * 1024
"""Largest headers of a response; they have to fit into one frame with the body."""

READ_SIZE_BYTES = 64 * 1024
"""Bytes of a response that are read at a time."""

BODILESS_STATUSES = frozenset((204, 304))
"""Statuses of responses that have no body."""

# Each connection is used for one attempt only. Otherwise surplus or late bytes of
# one response could be read as the start of another caller's response.
CONNECTION_HEADERS = {"Connection": "close"}

CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
"""Errors that are raised before any part of the request is sent."""


class EndpointClient:
    """Execute attempts at one endpoint over an HTTP connection pool."""

    def __init__(self, url: str, connections: int) -> None:
        self.pool = bounded_pool(url, connections)

    def call(self, start: StartAttempt) -> Message:
        """Return how the attempt ended; takes at most about start.remaining seconds."""
        if start.remaining <= 0:
            return AttemptNotRun(
                attempt_id=start.attempt_id, reason=Reason.DEADLINE_EXCEEDED
            )
        try:
            return self._send_request(start)
        except CONNECT_ERRORS:
            return AttemptNotRun(
                attempt_id=start.attempt_id, reason=Reason.CONNECT_FAILED
            )
        except urllib3.exceptions.HTTPError as error:
            return AttemptUnknown(attempt_id=start.attempt_id, reason=_reason(error))
        except (OSError, ValueError):
            # Part of the request may have been sent before the failure.
            return AttemptUnknown(
                attempt_id=start.attempt_id, reason=Reason.RESPONSE_LOST
            )

    def _send_request(self, start: StartAttempt) -> Message:
        deadline = time.monotonic() + start.remaining
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT, total=start.remaining)
        response = self.pool.urlopen(
            start.method,
            start.path,
            body=start.body,
            headers=start.headers | CONNECTION_HEADERS,
            timeout=timeout,
            retries=False,
            redirect=False,
            preload_content=False,
        )
        try:
            return _read(start, response, deadline)
        finally:
            response.close()
            response.release_conn()


def _read(
    start: StartAttempt, response: urllib3.BaseHTTPResponse, deadline: float
) -> Message:
    attempt_id = start.attempt_id
    headers = dict(response.headers)
    if sum(len(name) + len(headers[name]) for name in headers) > HEADER_LIMIT_BYTES:
        return AttemptUnknown(attempt_id=attempt_id, reason=Reason.RESPONSE_TOO_LARGE)
    if not _length_declared(start.method, response):
        return AttemptUnknown(attempt_id=attempt_id, reason=Reason.LENGTH_UNDECLARED)
    body = bytearray()
    # Reads until the end, because the read that returns nothing raises
    # IncompleteRead if bytes are missing. A single read with the limit as its size
    # would return a truncated body without an error.
    while chunk := response.read(READ_SIZE_BYTES, decode_content=False):
        body += chunk
        if len(body) > BODY_LIMIT_BYTES:
            return AttemptUnknown(
                attempt_id=attempt_id, reason=Reason.RESPONSE_TOO_LARGE
            )
        if time.monotonic() > deadline:
            return AttemptUnknown(
                attempt_id=attempt_id, reason=Reason.DEADLINE_EXCEEDED
            )
    return AttemptCompleted(
        attempt_id=attempt_id,
        status=response.status,
        headers=headers,
        body=bytes(body),
    )


def _length_declared(method: str, response: urllib3.BaseHTTPResponse) -> bool:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return True
    length = response.headers.get("Content-Length", "")
    return length.isascii() and length.isdigit()


def _reason(error: urllib3.exceptions.HTTPError) -> Reason:
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return Reason.DEADLINE_EXCEEDED
    if isinstance(error, urllib3.exceptions.IncompleteRead):
        return Reason.RESPONSE_TRUNCATED
    return Reason.RESPONSE_LOST
