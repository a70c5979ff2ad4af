"""Pass complete HTTP requests to a WSGI application."""

from __future__ import annotations

import re
import sys
from dataclasses import dataclass
from http import HTTPStatus
from io import BytesIO
from typing import Any
from urllib.parse import unquote_to_bytes, urlsplit

from wasabispur_core.log_event import HTTP_REQUEST_FAILED
from wasabispur_runtime.log import log_failure

Headers = list[tuple[bytes, bytes]]

ENCODED_SLASH = re.compile(rb"(?i)%2F")
"""A slash that belongs to a part of the path and does not divide it."""

UNPREFIXED = frozenset(("CONTENT_TYPE", "CONTENT_LENGTH"))
"""Headers whose environ keys have no prefix."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """Represent a complete request."""

    method: bytes
    target: bytes
    version: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """Represent the application's response."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoints:
    """Name the two ends of a connection."""

    client: tuple[str, int]
    server: tuple[str, int]


def call_application(
    application: Any, request: HttpRequest, endpoints: Endpoints
) -> HttpReply:
    """Return the application's complete response; status 500 if it fails."""
    started: list[tuple[str, list[tuple[str, str]]]] = []

    def start_response(status: str, headers: list[tuple[str, str]], *_: Any) -> None:
        started.append((status, headers))

    try:
        chunks = application(environ(request, endpoints), start_response)
        try:
            body = b"".join(chunks)
        finally:
            if hasattr(chunks, "close"):
                chunks.close()
        status, headers = started[-1]
        return _reply(request, status, headers, body)
    except Exception as error:
        path = request.target.decode("latin-1")
        log_failure(HTTP_REQUEST_FAILED, path=path, error=str(error))
        failed = HTTPStatus.INTERNAL_SERVER_ERROR
        return _reply(request, f"{failed.value} {failed.phrase}", [], b"")


def _reply(
    request: HttpRequest, status: str, headers: list[tuple[str, str]], body: bytes
) -> HttpReply:
    code, _, reason = status.partition(" ")
    fields = [(name.encode("latin-1"), v.encode("latin-1")) for name, v in headers]
    has_length = any(name.lower() == b"content-length" for name, _ in fields)
    if int(code) in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        body = b""
    elif not (has_length and request.method == b"HEAD"):
        fields = [field for field in fields if field[0].lower() != b"content-length"]
        fields.append((b"Content-Length", b"%d" % len(body)))
    return HttpReply(
        status=int(code),
        reason=reason.encode("latin-1"),
        headers=fields,
        body=b"" if request.method == b"HEAD" else body,
    )


def environ(request: HttpRequest, endpoints: Endpoints) -> dict[str, Any]:
    """Return the WSGI environ of a request.

    Header fields with an underscore in their name are left out, because they could
    replace a field with a hyphen.
    """
    path, query = split_target(request.target)
    result: dict[str, Any] = {
        "ACTUAL_SERVER_PROTOCOL": "HTTP/1.1",
        "PATH_INFO": path.decode("latin-1"),
        "QUERY_STRING": query.decode("latin-1"),
        "REMOTE_ADDR": endpoints.client[0],
        "REMOTE_PORT": str(endpoints.client[1]),
        "REQUEST_METHOD": request.method.decode("latin-1"),
        "REQUEST_URI": request.target.decode("latin-1"),
        "SCRIPT_NAME": "",
        "SERVER_NAME": endpoints.server[0],
        "SERVER_PORT": str(endpoints.server[1]),
        "SERVER_PROTOCOL": f"HTTP/{request.version.decode('latin-1')}",
        "wsgi.errors": sys.stderr,
        "wsgi.input": BytesIO(request.body),
        "wsgi.input_terminated": True,
        "wsgi.multiprocess": False,
        "wsgi.multithread": True,
        "wsgi.run_once": False,
        "wsgi.url_scheme": "http",
        "wsgi.version": (1, 0),
    }
    for name, value in request.headers:
        if b"_" in name:
            continue
        key = name.decode("latin-1").upper().replace("-", "_")
        key = key if key in UNPREFIXED else f"HTTP_{key}"
        text = value.decode("latin-1")
        result[key] = f"{result[key]}, {text}" if key in result else text
    return result


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the decoded path and the query of a request's target."""
    if not target.startswith((b"/", b"*")):
        # The target of a request to a proxy contains the scheme and the host.
        try:
            parts = urlsplit(target)
        except ValueError:
            return b"/", b""
        target = (parts.path or b"/") + (b"?" + parts.query if parts.query else b"")
    path, _, query = target.partition(b"?")
    pieces = [unquote_to_bytes(piece) for piece in ENCODED_SLASH.split(path)]
    return b"%2F".join(pieces), query
