"""Test what CherryPy is kept from doing with clients' header fields."""

from __future__ import annotations

import encodings
from http.cookies import SimpleCookie
from typing import Any

import cherrypy
import pytest
from cherrypy._cplogging import LogManager
from cherrypy.lib import httputil

from wasabispur.http_api import CONFIGURATION
from wasabispur.http_application import new_application
from wasabispur.http_request import read_model
from wasabispur.http_wsgi import call_application, Endpoints, HttpReply, HttpRequest
from wasabispur.job_resource import SubmitBody

ENDS = Endpoints(client=("127.0.0.1", 1), server=("127.0.0.1", 2))


class Root:
    """Respond with a header field and the path."""

    @cherrypy.expose
    def jobs(self) -> bytes:
        """Validate a job."""
        read_model(SubmitBody)
        return b""

    @cherrypy.expose
    def index(self, **query: str) -> bytes:
        """Return the field X and the host."""
        headers = cherrypy.request.headers
        return f"{headers.get('X')}|{headers.get('Host')}".encode()


def ask(
    *fields: tuple[bytes, bytes],
    version: bytes = b"1.1",
    target: bytes = b"/",
    body: bytes = b"",
) -> HttpReply:
    """Return the response to a request with the given header fields."""
    request = HttpRequest(
        method=b"GET", target=target, version=version, headers=[*fields], body=body
    )
    return call_application(new_application(Root(), CONFIGURATION), request, ENDS)


@pytest.mark.parametrize("value", [b"=?nothing-1?q?a?=", b"=?utf-8?b?a?=", b"=?a?q?"])
def test_fields_are_not_decoded_by_a_client_s_character_set(value):
    """Guard against unknown names that are remembered, and against failed requests.

    Python keeps the name of each unknown character set for good, and CherryPy answered
    with status 500.
    """
    before = dict(encodings._cache)
    reply = ask((b"host", b"a"), (b"x", value))
    assert (reply.status, reply.body) == (200, value + b"|a")
    assert encodings._cache == before


@pytest.mark.parametrize(
    "field", [(b"cookie", b'a="\\\\"'), (b"content-type", b',"'), (b"content-disposition", b",")]
)  # fmt: skip
def test_unused_fields_are_not_parsed(monkeypatch, field):
    """Guard against fields of 16 KB that take half a second to parse.

    The regular expressions for them take quadratic time, in which no other thread runs.
    """
    calls: list[Any] = []
    monkeypatch.setattr(SimpleCookie, "load", lambda *call: calls.append(call))
    monkeypatch.setattr(httputil, "header_elements", lambda *call: calls.append(call))
    assert ask((b"host", b"a"), field).status == 200
    assert field[1].decode() not in [call[1] for call in calls]


def test_host_is_required_as_by_the_protocol():
    """Guard against a request without the Host that the protocol requires."""
    assert ask().status == 400
    assert ask(version=b"1.0").body == b"None|None"


def test_no_access_log_is_formatted(monkeypatch):
    """Guard against the cost of a log that nothing reads."""
    calls: list[Any] = []
    monkeypatch.setattr(LogManager, "access", lambda *call: calls.append(call))
    assert ask((b"host", b"a")).status == 200
    assert not calls


def test_body_with_very_many_values_is_not_validated():
    """Guard against the memory of an error for each unknown name in a body."""
    body = b"{" + b'"":0,' * 100_000 + b'"":0}'
    reply = ask((b"host", b"a"), target=b"/jobs", body=body)
    assert reply.status == 400
    assert b"65536 values" in reply.body
