"""Read the body of a request by its framing, within the limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import TYPE_CHECKING

import h11

from wasabispur_core.http_limits import FRAMING_PER_BYTE, HttpLimits

from .http_refusal import HttpRefusal

if TYPE_CHECKING:
    import httptools

BLOCK_BYTES = 4096
"""Content that is collected before it becomes a block."""

BLOCK_OVERHEAD_BYTES = 64
"""Memory that a block takes beside its content."""

CHUNKED_HEADER = (
    b"POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
)
"""Header that prepares a parser for a chunked body."""


class BodyContent:
    """Collect the content of a body in blocks.

    A single growing buffer would be copied to a larger one again and again, and leave
    holes in the heap.
    """

    def __init__(self) -> None:
        self.blocks: list[bytes] = []
        self.tail = bytearray()
        self.size = 0

    @property
    def memory(self) -> int:
        """Return the memory that the content takes, in bytes."""
        incomplete = BLOCK_BYTES if self.tail else 0
        return self.size + len(self.blocks) * BLOCK_OVERHEAD_BYTES + incomplete

    def append(self, piece: bytes) -> None:
        """Add a piece of the content."""
        self.size += len(piece)
        self.tail += piece
        if len(self.tail) >= BLOCK_BYTES:
            self.blocks.append(bytes(self.tail))
            self.tail = bytearray()

    def take(self) -> bytes:
        """Return the whole content and keep nothing."""
        content = b"".join((*self.blocks, self.tail))
        self.clear()
        return content

    def clear(self) -> None:
        """Free the content."""
        self.blocks.clear()
        self.tail = bytearray()
        self.size = 0


@dataclass(slots=True)
class LengthFraming:
    """Read a body of an announced length with the parser of the connection."""

    parser: h11.Connection
    remaining: int


@dataclass(slots=True)
class ChunkedFraming:
    """Read a chunked body.

    The parser calls the methods whose names begin with "on_". total is the number of
    bytes that are not content. retained is the number of bytes after the latest content
    that the parser may keep: a trailer that is not complete.
    """

    limits: HttpLimits
    content: BodyContent
    parser: httptools.HttpRequestParser | None = None
    total: int = 0
    retained: int = 0
    in_content: bool = False
    complete: bool = False

    def on_chunk_header(self) -> None:
        """Note the begin of a chunk, or of the trailers."""
        self.in_content = False

    def on_body(self, piece: bytes) -> None:
        """Take a piece of a chunk."""
        self.in_content = True
        self.content.append(piece)

    def on_message_complete(self) -> None:
        """Note the end of the body."""
        self.complete = True


Framing = LengthFraming | ChunkedFraming


@dataclass(slots=True)
class Body:
    """Represent the body of a request that is being read."""

    framing: Framing
    limits: HttpLimits
    content: BodyContent = field(default_factory=BodyContent)

    @property
    def memory(self) -> int:
        """Return the memory that the body takes, in bytes."""
        return self.content.memory + retained_bytes(self.framing)

    def read(self, received: bytearray) -> bool:
        """Take received bytes and return whether the body is complete.

        Raise HttpRefusal.
        """
        if not received:
            return False
        complete = read_framing(self.framing, received, self.content)
        if self.content.size > self.limits.body_bytes:
            raise body_too_large(self.limits.body_bytes)
        return complete

    def clear(self) -> None:
        """Free the content and the parser."""
        self.content.clear()
        release_framing(self.framing)


def length_body(parser: h11.Connection, length: int, limits: HttpLimits) -> Body:
    """Return a body of an announced length."""
    return Body(LengthFraming(parser, length), limits)


def chunked_body(limits: HttpLimits) -> Body:
    """Return a chunked body."""
    content = BodyContent()
    framing = ChunkedFraming(limits, content)
    framing.parser = _chunk_parser(framing)
    return Body(framing, limits, content)


def _chunk_parser(framing: ChunkedFraming) -> httptools.HttpRequestParser:
    """Return a parser that expects a chunk.

    The compiled parser takes a fortieth of the CPU time of h11 for chunks of one byte.
    Its library is imported with the first chunked body, because it takes 0.3 MB.
    """
    import httptools

    parser = httptools.HttpRequestParser(framing)
    # h11, which reads everything else, permits these spaces too.
    parser.set_dangerous_leniencies(lenient_spaces_after_chunk_size=True)
    parser.feed_data(CHUNKED_HEADER)
    return parser


@singledispatch
def read_framing(framing: Framing, received: bytearray, content: BodyContent) -> bool:
    """Move content from the received bytes; return whether the body is complete."""
    raise NotImplementedError(type(framing).__name__)


@read_framing.register
def _(framing: LengthFraming, received: bytearray, content: BodyContent) -> bool:
    piece = bytes(received[: framing.remaining])
    del received[: framing.remaining]
    framing.remaining -= len(piece)
    framing.parser.receive_data(piece)
    while True:
        event = framing.parser.next_event()
        if isinstance(event, h11.Data):
            content.append(bytes(event.data))
        else:
            return isinstance(event, h11.EndOfMessage)


@read_framing.register
def _(framing: ChunkedFraming, received: bytearray, content: BodyContent) -> bool:
    piece = bytes(received)
    received.clear()
    before = content.size
    _parse_chunks(framing, piece)
    if framing.complete:
        return True
    read = content.size - before
    framing.total += len(piece) - read
    framing.retained = (
        0 if framing.in_content else len(piece) + (0 if read else framing.retained)
    )
    limit = framing.limits.framing_bytes
    if framing.retained > limit:
        raise excessive_framing()
    if framing.total > limit + FRAMING_PER_BYTE * content.size:
        raise excessive_framing()
    return False


def _parse_chunks(framing: ChunkedFraming, piece: bytes) -> None:
    """Pass received bytes to the parser; raise HttpRefusal if they are malformed."""
    import httptools

    assert framing.parser is not None
    try:
        framing.parser.feed_data(piece)
    except httptools.HttpParserError as error:
        # Bytes after the end are an error of the parser too, but belong to no request.
        if not framing.complete:
            raise malformed_chunk(str(error)) from error


@singledispatch
def framing_bytes(framing: Framing) -> int:
    """Return the number of received bytes that are not content."""
    raise NotImplementedError(type(framing).__name__)


@framing_bytes.register
def _(framing: LengthFraming) -> int:
    return 0


@framing_bytes.register
def _(framing: ChunkedFraming) -> int:
    return framing.total


@singledispatch
def retained_bytes(framing: Framing) -> int:
    """Return the number of bytes beside the content that the parser may keep."""
    raise NotImplementedError(type(framing).__name__)


@retained_bytes.register
def _(framing: LengthFraming) -> int:
    return 0


@retained_bytes.register
def _(framing: ChunkedFraming) -> int:
    return framing.retained


@singledispatch
def release_framing(framing: Framing) -> None:
    """Free the parser of the body."""
    raise NotImplementedError(type(framing).__name__)


@release_framing.register
def _(framing: LengthFraming) -> None:
    """Leave the parser to the connection, which uses it for the response."""


@release_framing.register
def _(framing: ChunkedFraming) -> None:
    # The parser and the framing refer to each other.
    framing.parser = None


def body_too_large(limit: int) -> HttpRefusal:
    """Return the refusal of a body over the limit."""
    return HttpRefusal(
        413,
        "body-size",
        f"the body exceeds {limit} bytes; the request was not run",
        "send a smaller body",
    )


def malformed_chunk(reason: str) -> HttpRefusal:
    """Return the refusal of a body that violates the chunked encoding."""
    return HttpRefusal(
        400,
        "malformed",
        f"the chunked body is malformed: {reason}; the request was not run",
        "correct the request",
    )


def excessive_framing() -> HttpRefusal:
    """Return the refusal of a body with much more framing than content."""
    return HttpRefusal(
        400,
        "framing",
        "the chunked body has too many bytes beside its content; "
        "the request was not run",
        "send larger chunks without extensions, and short trailers",
    )
