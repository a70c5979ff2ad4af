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

SILENCE_TIMEOUT = 600.0
"""Seconds without data from the client after which a silent connection is closed."""

MALFORMED_BODY = b"\xff\x00<not json>"

TakeFault = Callable[[str, str], Fault | None]


@dataclass(frozen=True, slots=True)
class Response:
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
        serve_with_fault(fault, self)

    def run_application(self) -> Response:
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
        return Response(status, headers, body)

    def send(self, data: bytes) -> None:
        """Send bytes unchanged; cheroot adds neither headers nor chunk sizes."""
        self.req.sent_headers = True
        self.req.chunked_write = False
        self.req.conn.wfile.write(data)

    def reset_connection(self) -> None:
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
def serve_with_fault(fault: Fault, gateway: FaultGateway) -> None:
    """Serve one request with a fault; a fault without a handler changes nothing."""
    gateway.send(gateway.run_application().encode())


@serve_with_fault.register
def _(fault: Outage, gateway: FaultGateway) -> None:
    status = f"{fault.status} Fault"
    gateway.send(Response(status, [("Retry-After", "1")], b"{}").encode())


@serve_with_fault.register
def _(fault: Pause, gateway: FaultGateway) -> None:
    time.sleep(fault.seconds)
    gateway.send(gateway.run_application().encode())


@serve_with_fault.register
def _(fault: Slow, gateway: FaultGateway) -> None:
    response = gateway.run_application()
    time.sleep(fault.seconds)
    gateway.send(response.encode())


@serve_with_fault.register
def _(fault: Fail, gateway: FaultGateway) -> None:
    gateway.run_application()
    gateway.send(Response(f"{fault.status} Fault", [], b"{}").encode())


@serve_with_fault.register
def _(fault: Cut, gateway: FaultGateway) -> None:
    gateway.reset_connection()


@serve_with_fault.register
def _(fault: LoseAnswer, gateway: FaultGateway) -> None:
    gateway.run_application()
    gateway.reset_connection()


@serve_with_fault.register
def _(fault: DuplicateRequest, gateway: FaultGateway) -> None:
    gateway.run_application()
    gateway.send(gateway.run_application().encode())


@serve_with_fault.register
def _(fault: DuplicateAnswer, gateway: FaultGateway) -> None:
    gateway.send(gateway.run_application().encode() * 2)


@serve_with_fault.register
def _(fault: Truncate, gateway: FaultGateway) -> None:
    response = gateway.run_application()
    gateway.send(
        response.head(len(response.body)) + response.body[: len(response.body) // 2]
    )
    gateway.reset_connection()


@serve_with_fault.register
def _(fault: Garbage, gateway: FaultGateway) -> None:
    response = gateway.run_application()
    gateway.send(Response(response.status, response.headers, MALFORMED_BODY).encode())


@serve_with_fault.register
def _(fault: Oversize, gateway: FaultGateway) -> None:
    response = gateway.run_application()
    gateway.send(
        Response(response.status, response.headers, b" " * fault.size).encode()
    )
    gateway.reset_connection()


@serve_with_fault.register
def _(fault: Silent, gateway: FaultGateway) -> None:
    if fault.effect:
        gateway.run_application()
    connection = gateway.req.conn.socket
    connection.settimeout(SILENCE_TIMEOUT)
    connection.recv(1)
    gateway.reset_connection()
