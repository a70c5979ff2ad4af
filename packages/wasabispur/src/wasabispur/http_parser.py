"""Parse the requests of one connection and encode the responses."""

from __future__ import annotations

import re

import h11

from wasabispur_core.http_limits import HttpLimits

from .http_body import Body, body_too_large, chunked_body, framing_bytes, length_body
from .http_refusal import HttpRefusal
from .http_wsgi import HttpReply, HttpRequest

VERSIONS = frozenset((b"1.0", b"1.1"))
"""Versions of HTTP that the server supports."""

HEADER_END = re.compile(rb"\n\r?\n")
"""End of a header; h11 accepts lines without a carriage return too."""

HEADER_END_BYTES = 3
FIRST_PRINTABLE = 0x21
"""Least byte with which a request can begin."""

FIELD_BYTES = 256
"""Memory of a parsed header field beside its name and its value."""


class RequestParser:
    """Parse requests within the limits; the bytes come from the owner of the socket.

    received contains the bytes that belong to no parsed header or body yet.
    """

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.parser = h11.Connection(h11.SERVER, limits.header_bytes)
        self.method = b""
        self.received = bytearray()
        self.searched = 0
        self.header_memory = 0
        self.body: Body | None = None

    @property
    def pending(self) -> int:
        """Return the number of bytes that belong to the next request."""
        return len(self.received)

    @property
    def memory(self) -> int:
        """Return the memory that the present request takes, in bytes."""
        body = self.body.memory if self.body is not None else 0
        return len(self.received) + self.header_memory + body

    @property
    def framing(self) -> int:
        """Return the number of bytes of the body that are not content."""
        return framing_bytes(self.body.framing) if self.body is not None else 0

    @property
    def body_size(self) -> int:
        """Return the number of bytes of content that the body has so far."""
        return self.body.content.size if self.body is not None else 0

    @property
    def can_refuse(self) -> bool:
        """Return whether no response to the present request has begun."""
        return self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def feed(self, data: bytes) -> None:
        """Take received bytes."""
        self.received += data

    def clear(self) -> None:
        """Free the received bytes and the body."""
        self.received = bytearray()
        self.header_memory = 0
        if self.body is not None:
            self.body.clear()
            self.body = None

    def parse_header(self) -> h11.Request | None:
        """Return the header of the next request, or None if it is not complete."""
        found = HEADER_END.search(self.received, self.searched)
        end = found.end() if found else len(self.received)
        self._check_received(found.start() if found else end, end)
        if found is None:
            self.searched = max(0, end - HEADER_END_BYTES)
            return None
        self.searched = 0
        self.parser.receive_data(bytes(self.received[:end]))
        del self.received[:end]
        event = self.parser.next_event()
        if not isinstance(event, h11.Request):
            raise incomplete()
        self.method = event.method
        self.header_memory = end + FIELD_BYTES * len(event.headers)
        _check_header(event, self.limits)
        return event

    def _check_received(self, last: int, end: int) -> None:
        """Refuse a header that is too large, or obviously none, before it is parsed.

        last is the end of its last line, and end that of the header. Parsed fields take about sixty times the memory of their bytes.
        """
        if self.received and self.received[0] < FIRST_PRINTABLE:
            raise HttpRefusal(
                400, "malformed", "the request line is malformed", "correct the request"
            )
        if self.received.count(b"\n", 0, last) > self.limits.fields:
            raise HttpRefusal(
                431,
                "fields",
                f"the header has more than {self.limits.fields} fields",
                "send fewer header fields",
            )
        if end > self.limits.header_bytes:
            raise HttpRefusal(
                431,
                "header-size",
                f"the header exceeds {self.limits.header_bytes} bytes",
                "send a smaller header",
            )

    def start_body(self, header: h11.Request) -> None:
        """Prepare for the body that follows a header."""
        lengths = _header_values(header, b"content-length")
        if lengths:
            self.body = length_body(self.parser, int(lengths[0]), self.limits)
        else:
            self.body = chunked_body(self.limits)

    def read_body(self) -> bool:
        """Parse received bytes of the body and return whether it is complete."""
        assert self.body is not None
        return self.body.read(self.received)

    def take_body(self) -> bytes:
        """Return the complete body and keep nothing of it."""
        assert self.body is not None
        content = self.body.content.take()
        self.body.clear()
        self.body = None
        return content

    def skip_body(self) -> None:
        """Prepare for the response to a request without a body."""
        self.parser.next_event()

    def encode_continue(self) -> bytes:
        """Return an interim response if the client waits for it."""
        if not self.parser.they_are_waiting_for_100_continue:
            return b""
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        return self.parser.send(go_on) or b""

    def encode(self, reply: HttpReply, close: bool) -> bytes:
        """Return the bytes of a response, which may end the connection."""
        headers = reply.headers
        if close:
            headers = [field for field in headers if field[0].lower() != b"connection"]
            headers.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=reply.status, headers=headers, reason=reply.reason
        )
        parts = [self.parser.send(response)]
        if reply.body:
            parts.append(self.parser.send(h11.Data(data=reply.body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def start_next(self) -> bool:
        """Prepare for the next request; return whether there may be one."""
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.method = b""
        self.header_memory = 0
        return True


def incomplete() -> HttpRefusal:
    """Return the refusal of a request that ended early."""
    return HttpRefusal(
        400,
        "incomplete",
        "the request is incomplete; it was not run",
        "send the whole request again",
    )


def malformed(error: h11.RemoteProtocolError) -> HttpRefusal:
    """Return the refusal of a request that violates the protocol."""
    status = error.error_status_hint
    cause = "header-size" if status == 431 else "malformed"
    return HttpRefusal(status, cause, str(error), "correct the request")


def is_chunked(request: HttpRequest) -> bool:
    """Return whether the length of the body was not announced."""
    return any(name.lower() == b"transfer-encoding" for name, _ in request.headers)


def _header_values(header: h11.Request, wanted: bytes) -> list[bytes]:
    return [value for name, value in header.headers if name == wanted]


def has_body(header: h11.Request) -> bool:
    """Return whether a body follows the header."""
    lengths = _header_values(header, b"content-length")
    chunked = bool(_header_values(header, b"transfer-encoding"))
    return chunked or any(int(length) for length in lengths)


def _check_header(header: h11.Request, limits: HttpLimits) -> None:
    """Raise HttpRefusal for what the server does not support.

    CONNECT is refused too, since its successful response would end the protocol.
    """
    if header.http_version not in VERSIONS:
        raise HttpRefusal(
            505, "malformed", "the HTTP version is not supported", "use HTTP/1.1"
        )
    if header.method == b"CONNECT":
        raise HttpRefusal(
            501, "malformed", "CONNECT is not supported", "use another method"
        )
    lengths = _header_values(header, b"content-length")
    if lengths and _header_values(header, b"transfer-encoding"):
        raise HttpRefusal(
            400,
            "malformed",
            "the request has both Content-Length and Transfer-Encoding",
            "send one of them",
        )
    if lengths and int(lengths[0]) > limits.body_bytes:
        raise body_too_large(limits.body_bytes)
