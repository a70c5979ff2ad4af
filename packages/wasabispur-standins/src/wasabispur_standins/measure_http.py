"""Measure the memory that clients' connections take in an HTTP server."""

from __future__ import annotations

import multiprocessing
import socket
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

from wasabispur.http_server import HttpServer
from wasabispur_core.http_limits import HttpLimits

from .measure_fit import fit, Line, Sample
from .measure_process import HOST, read_usage, wait_until_listening
from .port import free_port

SETTLE_TIME = 1.0
"""Seconds after the last connection until the memory is read."""

LONG_TIME = 600.0
"""Seconds for idle connections and incomplete requests during a measurement."""

PIECE_BYTES = 10_000
READ_BYTES = 65_536

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nUser-Agent: measure\r\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """Describe what each client sends, and whether it then reads a response."""

    name: str
    content: bytes
    served: bool = False


TRAFFIC = (
    Traffic(name="idle connection", content=b""),
    Traffic(
        name="idle connection after a request", content=HEAD + b"\r\n", served=True
    ),
    Traffic(name="half-sent header", content=HEAD),
    Traffic(
        name=f"body stopped after {PIECE_BYTES} bytes",
        content=HEAD + b"Content-Length: 20000\r\n\r\n" + bytes(PIECE_BYTES),
    ),
    Traffic(
        name=f"chunked body stopped after {PIECE_BYTES} chunks of a byte",
        content=HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * PIECE_BYTES,
    ),
    Traffic(
        name="200 pipelined requests, unread",
        content=(HEAD + b"\r\n") * 200,
    ),
)


def measure_http(sizes: Sequence[int]) -> list[Line]:
    """Return the memory (KB) of a server for each kind of traffic, by connections."""
    lines = []
    for traffic in TRAFFIC:
        samples = [
            Sample(size=size, value=_memory(traffic, size) / 1000) for size in sizes
        ]
        lines.append(fit(traffic.name, "KB", "connection", samples))
    return lines


def _memory(traffic: Traffic, size: int) -> int:
    """Return the resident memory of a new server with a number of connections."""
    port = free_port()
    context = multiprocessing.get_context("spawn")
    server = context.Process(target=_serve, args=(port,), daemon=True)
    server.start()
    with ExitStack() as stack:
        stack.callback(server.join)
        stack.callback(server.terminate)
        wait_until_listening(port)
        for _ in range(size):
            client = socket.create_connection((HOST, port))
            stack.callback(client.close)
            client.sendall(traffic.content)
            if traffic.served:
                client.recv(READ_BYTES)
        time.sleep(SETTLE_TIME)
        assert server.pid is not None
        return read_usage(server.pid).memory


def _serve(port: int) -> None:
    limits = HttpLimits(
        connections=10_000,
        buffer_bytes=1024**3,
        header_time=LONG_TIME,
        grace_time=LONG_TIME,
        idle_time=LONG_TIME,
    )
    HttpServer(_respond, HOST, port, 1, limits).start()
    time.sleep(LONG_TIME)


def _respond(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> list[bytes]:
    start_response("200 OK", [])
    return [b"x" * 100]
