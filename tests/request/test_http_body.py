"""Test how the bodies of requests are read and what they hold."""

from __future__ import annotations

import pytest

from wasabispur.http_body import BLOCK_BYTES, Body, chunked_body
from wasabispur.http_refusal import HttpRefusal
from wasabispur_core.http_limits import (
    HttpLimits,
    PUBLISHED_BODY_BYTES,
    PUBLISHED_HEADER_BYTES,
)

LIMITS = HttpLimits()
READ_BYTES = 16 * 1024
SMALL_CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def read_all(body: Body, content: bytes) -> bool:
    """Pass the content to the body as it is read from a socket."""
    complete = False
    for start in range(0, len(content), READ_BYTES):
        complete = body.read(bytearray(content[start : start + READ_BYTES]))
    return complete


@pytest.mark.parametrize(
    "content",
    [
        SMALL_CHUNK * PUBLISHED_BODY_BYTES + LAST_CHUNK,
        b"%x\r\n" % PUBLISHED_BODY_BYTES
        + bytes(PUBLISHED_BODY_BYTES)
        + b"\r\n"
        + LAST_CHUNK,
        SMALL_CHUNK + b"0\r\nt: " + b"v" * (PUBLISHED_HEADER_BYTES - 7) + b"\r\n\r\n",
        b"1 \r\nx\r\n" + LAST_CHUNK,
        b"00000001;extension=1\r\nx\r\n" * 1000 + LAST_CHUNK,
        SMALL_CHUNK + LAST_CHUNK + b"GET / HTTP/1.1\r\n",
    ],
    ids=["small", "large", "trailer", "spaces", "extensions", "pipelined"],
)
def test_permitted_chunked_body_is_read(content):
    """Guard against limits that refuse a body within those that clients are told."""
    body = chunked_body(LIMITS)
    assert read_all(body, content)
    assert body.content.size in (1, 1000, PUBLISHED_BODY_BYTES)


@pytest.mark.parametrize(
    ("status", "cause", "content"),
    [
        (400, "framing", (b"1;" + b"e" * 15_000 + b"\r\nx\r\n") * 10),
        (400, "framing", SMALL_CHUNK + b"0\r\n" + b"t: v\r\n" * 20_000),
        (400, "framing", SMALL_CHUNK * 20_000 + b"0\r\nt: " + b"v" * 100_000),
        (400, "framing", b"1;" + b"e" * 100_000),
        (400, "malformed", b"zz\r\n"),
        (413, "body-size", b"200000\r\n" + bytes(0x200000)),
    ],
)
def test_excessive_chunked_body_is_refused(status, cause, content):
    """Guard against framing that is read without end or kept by the parser."""
    body = chunked_body(LIMITS)
    with pytest.raises(HttpRefusal) as caught:
        read_all(body, content)
    assert (caught.value.status, caught.value.cause) == (status, cause)
    assert body.memory <= LIMITS.framing_bytes + LIMITS.body_bytes + 2 * READ_BYTES


def test_incomplete_trailer_counts_as_memory():
    """Guard against many clients that each leave a trailer with the parser."""
    body = chunked_body(LIMITS)
    assert not body.read(bytearray(SMALL_CHUNK + b"0\r\nt: " + b"v" * 15_000))
    assert body.memory >= 15_000


def test_content_counts_as_what_it_takes():
    """Guard against small pieces that take more memory than is counted."""
    body = chunked_body(LIMITS)
    read_all(body, SMALL_CHUNK * 10_000)
    kept = sum(len(block) for block in body.content.blocks) + len(body.content.tail)
    assert kept == body.content.size == 10_000
    assert len(body.content.blocks) <= 10_000 // BLOCK_BYTES
    assert body.memory >= kept + BLOCK_BYTES
