"""Serve and send HTTP/1.1 messages with JSON bodies on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed"}


@dataclass(frozen=True)
class Request:
    """Describe a request that a server received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


@dataclass(frozen=True)
class Answer:
    """Describe an answer; status 0 means that there was none."""

    status: int
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Answer | None]]


class Server:
    """Serve one port; a handler that returns None leaves the call unanswered."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self.handler = handler
        self.port = port
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def abort(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        with suppress(
            OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await read_request(reader)) is not None:
                answer = await self.handler(request)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                writer.write(encode_answer(answer))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or None at the end."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        return None
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_json(reader: asyncio.StreamReader, headers: dict[str, str]) -> Any:
    """Return the JSON body of a message, or None."""
    content = await reader.readexactly(int(headers.get("content-length", "0")))
    if not content:
        return None
    try:
        return json.loads(content)
    except ValueError:
        return content.decode("utf-8", "replace")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    url = urlsplit(target)
    query = dict(parse_qsl(url.query, keep_blank_values=True))
    body = await read_json(reader, head[1])
    return Request(method, url.path, query, head[1], body)


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an answer."""
    content = b"" if answer.body is None else json.dumps(answer.body).encode()
    reason = REASONS.get(answer.status, "Other")
    lines = [
        f"HTTP/1.1 {answer.status} {reason}",
        "Content-Type: application/json",
        f"Content-Length: {len(content)}",
        *(f"{name}: {value}" for name, value in answer.headers.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + content


async def call(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": address, "Content-Length": str(len(content))}
    fields |= {"Content-Type": "application/json", "Connection": "close"}
    fields |= headers or {}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0)
            status = int(head[0].split(" ")[1])
            return Answer(status, await read_json(reader, head[1]), head[1])
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()
