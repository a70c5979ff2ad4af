"""Serve and send small HTTP/1.1 messages with JSON bodies on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"

PORTS = range(20_000, 30_000)
"""Ports below those that the operating system gives to outgoing connections."""

PORTS_OF_A_SCRIPT = 100
"""More ports than the processes of one deployment need."""

given_ports: set[int] = set()
"""Ports for processes that may have yet to listen there."""


@dataclass(slots=True)
class Request:
    """Represent one request; port is the one on which it arrived."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict[str, Any]
    port: int = 0


@dataclass(slots=True)
class Response:
    """Represent a response; without a status, the connection is closed instead."""

    status: int = 0
    body: dict[str, Any] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serve a handler on a port that stays the same over restarts."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self.handler = handler
        self.port = port
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the port; a free one is chosen at the first start."""
        self.port = self.port or free_ports(1)[0]
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=128
        )

    def abort(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        with suppress(
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                request = Request(
                    method,
                    parts.path,
                    dict(parse_qsl(parts.query, keep_blank_values=True)),
                    headers,
                    json.loads(body) if body else {},
                    self.port,
                )
                response = await self.handler(request)
                if not response.status:
                    writer.transport.abort()
                    break
                writer.write(encode_response(response))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


def encode_response(response: Response) -> bytes:
    """Return the bytes of a response."""
    body = json.dumps(response.body).encode()
    head = (
        f"HTTP/1.1 {response.status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def call(
    port: int,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> Response:
    """Send one request on a new connection; status 0 means no complete answer."""
    content = json.dumps(body).encode() if body is not None else b""
    fields = {"Host": f"{HOST}:{port}", "Connection": "close"} | (headers or {})
    if content:
        fields["Content-Type"] = "application/json"
    fields["Content-Length"] = str(len(content))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + content)
            first, _, answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Response()
    finally:
        if writer is not None:
            writer.close()
    status = int(first.split(" ")[1])
    try:
        return Response(status, json.loads(answer) if answer else {})
    except ValueError:
        return Response(status)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, and that no outgoing connection gets."""
    found: list[int] = []
    # Scripts that run at the same time begin with different ports.
    begin = PORTS_OF_A_SCRIPT * os.getpid() % len(PORTS)
    for port in [*PORTS[begin:], *PORTS[:begin]]:
        if port in given_ports:
            continue
        with socket.socket() as trial:
            try:
                trial.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        given_ports.add(port)
        if len(found) == count:
            return found
    raise OSError("no port is free")
