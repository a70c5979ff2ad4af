"""Test that the agent passes on complete responses only."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from wasabispur_agent.endpoint_client import EndpointClient
from wasabispur_core.protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    PermitId,
    Reason,
    StartAttempt,
)

SOCKET_TIMEOUT = 10.0


@contextmanager
def endpoint(response: bytes) -> Iterator[str]:
    """Serve one connection with fixed bytes, then close it."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(SOCKET_TIMEOUT)

    def serve() -> None:
        with listener.accept()[0] as connection:
            connection.settimeout(SOCKET_TIMEOUT)
            connection.recv(65536)
            connection.sendall(response)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        thread.join(SOCKET_TIMEOUT)
        listener.close()


def start(remaining: float = 5.0, **changes) -> StartAttempt:
    fields = {"method": "GET", "path": "/", "headers": {}, "body": b""} | changes
    permit_id = PermitId(incarnation=1, number=1)
    return StartAttempt(
        attempt_id="r.1", permit_id=permit_id, remaining=remaining, **fields
    )


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\n\r\nbody until close",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"",
        b"not http at all\r\n\r\n",
    ],
)
def test_incomplete_response_is_unknown(response):
    """Guard against a partial response that is reported as complete."""
    with endpoint(response) as url:
        result = EndpointClient(url, 1).call(start())
    assert isinstance(result, AttemptUnknown)


@pytest.mark.parametrize(
    ("response", "body"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nhello\r\n0\r\n\r\n",
            b"hello",
        ),
    ],
)
def test_complete_response_is_passed_on(response, body):
    """Guard against a complete response that is reported as unknown."""
    with endpoint(response) as url:
        result = EndpointClient(url, 1).call(start())
    assert isinstance(result, AttemptCompleted)
    assert result.body == body


def test_response_over_the_limit_is_unknown():
    """Guard against a response that is truncated at the limit."""
    size = 1024 * 1024 + 1
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()
    with endpoint(head + bytes(size)) as url:
        result = EndpointClient(url, 1).call(start())
    assert result == AttemptUnknown(attempt_id="r.1", reason=Reason.RESPONSE_TOO_LARGE)


def test_refused_connection_is_not_run():
    """Guard against the result "unknown" although the endpoint received no byte."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    result = EndpointClient(f"http://127.0.0.1:{port}", 1).call(start())
    assert isinstance(result, AttemptNotRun)


@pytest.mark.parametrize("remaining", [0.0, -1.0])
def test_start_without_time_left_is_not_run(remaining):
    """Guard against an exception that leaves the slot occupied forever."""
    result = EndpointClient("http://127.0.0.1:9", 1).call(start(remaining))
    assert result == AttemptNotRun(attempt_id="r.1", reason=Reason.DEADLINE_EXCEEDED)


def test_unusable_request_ends_the_attempt():
    """Guard against an exception that leaves the slot occupied forever."""
    with endpoint(b"") as url:
        result = EndpointClient(url, 1).call(start(headers={"X": "a\r\nb"}))
        assert isinstance(result, AttemptUnknown)
        EndpointClient(url, 1).call(start())
