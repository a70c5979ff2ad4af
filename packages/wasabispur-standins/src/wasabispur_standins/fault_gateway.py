"""Inject faults into the HTTP responses and connections of a stand-in."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatch
from io import BytesIO
from typing import Any

from cheroot.wsgi import Gateway_10

from .fault import (
    Cut,
    DuplicateAnswer,
    DuplicateRequest,
    Fail,
    Fault,
    Garbage,
    LoseAnswer,
    Outage,
    Oversize,
    Pause,
    Silent,
    Slow,
    Truncate,
)

FAULTS_PATH = "/faults"

SILENCE_LIMIT = 600.0
"""Seconds without data from the client after which a silent connection is closed."""

GARBAGE = b"\xff\x00<not json>"

TakeFault = Callable[[str, str], Fault | None]


@dataclass(frozen=True, slots=True)
class Answer:
    """Represent the HTTP response of a stand-in's application."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes

    def head(self, length: int) -> bytes:
        """Return the status line and the headers, with the given content length."""
        lines = [f"HTTP/1.1 {self.status}", f"Content-Length: {length}"]
        lines += [
            f"{name}: {value}"
            for name, value in self.headers
            if name.lower() != "content-length"
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def encode(self) -> bytes:
        """Return the bytes of the complete response."""
        return self.head(len(self.body)) + self.body


class FaultGateway(Gateway_10):
    """Pass requests to the WSGI application and inject the selected faults."""

    take_fault: TakeFault

    def respond(self) -> None:
        """Serve one request, with a fault if one is selected.

        The path that sets the faults is exempt.
        """
        method, path = self.env["REQUEST_METHOD"], self.env["PATH_INFO"]
        fault = None if path == FAULTS_PATH else type(self).take_fault(method, path)
        if fault is None:
            super().respond()
            return
        self.body = self.env["wsgi.input"].read()
        show(fault, self)

    def answer(self) -> Answer:
        """Run the application and return its response without sending it."""
        parts: list[tuple[str, list[tuple[str, str]]]] = []

        def start_response(
            status: str, headers: list[tuple[str, str]], exc_info: Any = None
        ) -> Callable[[bytes], None]:
            parts.append((status, headers))
            return lambda chunk: None

        environ = {**self.env, "wsgi.input": BytesIO(self.body)}
        chunks: Iterable[bytes] = self.req.server.wsgi_app(environ, start_response)
        body = b"".join(chunks)
        status, headers = parts[-1]
        return Answer(status, headers, body)

    def send(self, data: bytes) -> None:
        """Send bytes unchanged; cheroot adds neither headers nor chunk sizes."""
        self.req.sent_headers = True
        self.req.chunked_write = False
        self.req.conn.wfile.write(data)

    def close(self) -> None:
        """Close the connection without sending anything more.

        cheroot closes a connection whose handler raises ConnectionResetError.
        """
        raise ConnectionResetError(errno.ECONNRESET, "closed by a fault")


def gateway_class(take_fault: TakeFault) -> type[FaultGateway]:
    """Return a gateway class that uses the faults of one stand-in."""
    return type(
        "BoundFaultGateway", (FaultGateway,), {"take_fault": staticmethod(take_fault)}
    )


@singledispatch
def show(fault: Fault, gateway: FaultGateway) -> None:
    """Serve one request with a fault; other faults than those below change nothing."""
    gateway.send(gateway.answer().encode())


@show.register
def _(fault: Outage, gateway: FaultGateway) -> None:
    status = f"{fault.status} Fault"
    gateway.send(Answer(status, [("Retry-After", "1")], b"{}").encode())


@show.register
def _(fault: Pause, gateway: FaultGateway) -> None:
    time.sleep(fault.seconds)
    gateway.send(gateway.answer().encode())


@show.register
def _(fault: Slow, gateway: FaultGateway) -> None:
    answer = gateway.answer()
    time.sleep(fault.seconds)
    gateway.send(answer.encode())


@show.register
def _(fault: Fail, gateway: FaultGateway) -> None:
    gateway.answer()
    gateway.send(Answer(f"{fault.status} Fault", [], b"{}").encode())


@show.register
def _(fault: Cut, gateway: FaultGateway) -> None:
    gateway.close()


@show.register
def _(fault: LoseAnswer, gateway: FaultGateway) -> None:
    gateway.answer()
    gateway.close()


@show.register
def _(fault: DuplicateRequest, gateway: FaultGateway) -> None:
    gateway.answer()
    gateway.send(gateway.answer().encode())


@show.register
def _(fault: DuplicateAnswer, gateway: FaultGateway) -> None:
    gateway.send(gateway.answer().encode() * 2)


@show.register
def _(fault: Truncate, gateway: FaultGateway) -> None:
    answer = gateway.answer()
    gateway.send(answer.head(len(answer.body)) + answer.body[: len(answer.body) // 2])
    gateway.close()


@show.register
def _(fault: Garbage, gateway: FaultGateway) -> None:
    answer = gateway.answer()
    gateway.send(Answer(answer.status, answer.headers, GARBAGE).encode())


@show.register
def _(fault: Oversize, gateway: FaultGateway) -> None:
    answer = gateway.answer()
    gateway.send(Answer(answer.status, answer.headers, b" " * fault.size).encode())
    gateway.close()


@show.register
def _(fault: Silent, gateway: FaultGateway) -> None:
    if fault.effect:
        gateway.answer()
    connection = gateway.req.conn.socket
    connection.settimeout(SILENCE_LIMIT)
    connection.recv(1)
    gateway.close()
