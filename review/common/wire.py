"""Serve and call JSON over HTTP on loopback."""

from __future__ import annotations

import http.client
import json
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"

NO_ANSWER = 0
"""Status that stands for a call without an answer; its connection breaks."""

SILENCE = -1
"""Status that stands for a call without an answer on a connection that stays open."""

SILENCE_SECONDS = 30.0

PORTS = range(12_000, 32_000)

_chosen: set[int] = set()


@dataclass(frozen=True, slots=True)
class Call:
    """Describe one call that a server received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    content: bytes

    @property
    def body(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.content) if self.content else {}


@dataclass(frozen=True, slots=True)
class Answer:
    """Describe an answer, or that there is none."""

    status: int
    body: Any = None


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore broken connections."""


class JsonServer:
    """Serve JSON calls on one address, and stop like a process that is killed."""

    def __init__(self, handle: Callable[[Call], Answer], port: int) -> None:
        self.connections: set[socket.socket] = set()
        self.lock = threading.Lock()
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self) -> None:
                """Remember the connection."""
                super().setup()
                with outer.lock:
                    outer.connections.add(self.connection)

            def finish(self) -> None:
                """Forget the connection."""
                with outer.lock:
                    outer.connections.discard(self.connection)
                super().finish()

            def log_message(self, *arguments: Any) -> None:
                """Write no log."""

            def handle_call(self) -> None:
                """Pass one call to the handler and send its answer."""
                length = int(self.headers.get("Content-Length") or 0)
                content = self.rfile.read(length) if length else b""
                url = urlsplit(self.path)
                call = Call(
                    self.command,
                    url.path,
                    dict(parse_qsl(url.query, keep_blank_values=True)),
                    {name.lower(): value for name, value in self.headers.items()},
                    content,
                )
                answer = handle(call)
                if answer.status == SILENCE:
                    time.sleep(SILENCE_SECONDS)
                if answer.status in (NO_ANSWER, SILENCE):
                    self.close_connection = True
                    return
                data = json.dumps(answer.body if answer.body is not None else {})
                self.send_response(answer.status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data.encode())

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        self.server = _Server((HOST, port), Handler)
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        )
        self.thread.start()

    def kill(self) -> None:
        """Close the port and break all connections."""
        self.server.shutdown()
        self.server.server_close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


class Session:
    """Keep one connection open over several calls."""

    def __init__(self, address: str, timeout: float = 3.0) -> None:
        host, _, port = address.rpartition(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        self.connection.connect()
        self.connection.auto_open = 0

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call; status 0 means that there was no answer."""
        content = None if body is None else json.dumps(body)
        sent = {"Content-Type": "application/json", **(headers or {})}
        try:
            self.connection.request(method, path, content, sent)
            response = self.connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            return Answer(NO_ANSWER)
        try:
            return Answer(response.status, json.loads(data) if data else None)
        except ValueError:
            return Answer(response.status)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> Answer:
    """Make one call on a new connection; status 0 means that there was no answer."""
    try:
        session = Session(address, timeout)
    except OSError:
        return Answer(NO_ANSWER)
    try:
        return session.call(method, path, body, headers)
    finally:
        session.close()


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that are free now.

    They lie below those that the system gives to outgoing connections.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(PORTS)
        if port not in _chosen and _is_free(port):
            _chosen.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as one:
        try:
            one.bind((HOST, port))
        except OSError:
            return False
    return True
