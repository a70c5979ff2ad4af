"""Forward callers' requests to endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from uuid import uuid4

import cherrypy

from wasabispur_core.outcome import Outcome, ReplyToCaller
from wasabispur_core.request import RequestReceived

from .bridge import Bridge
from .http_error import BadRequestError, error_body
from .http_request import read_body, required_header
from .request_dispatcher import RequestDispatcher

DEFAULT_DEADLINE = 30.0
"""Seconds that a request without a deadline header may take."""

REPLY_GRACE = 1.0
"""Seconds beyond the deadline that a thread waits for the dispatcher."""

RETRY_AFTER_SECONDS = 1

OUTCOME_STATUS = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504}

HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authenticate",
        "proxy-authorization",
    )
)


@dataclass(slots=True)
class ServiceResource:
    """Forward callers' requests to endpoints."""

    bridge: Bridge
    dispatcher: RequestDispatcher

    @cherrypy.expose
    def default(self, service: str, *path: str, **query: str) -> bytes:
        """Run one request and return the endpoint's response."""
        message = read_request(service, "/" + "/".join(path))
        reply = self.bridge.ask(
            self.dispatcher, message, message.deadline + REPLY_GRACE
        )
        return write_reply(reply)


def read_request(service: str, path: str) -> RequestReceived:
    """Return the typed request in the current HTTP request."""
    request = cherrypy.request
    query = f"?{request.query_string}" if request.query_string else ""
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in HOP_HEADERS and not name.lower().startswith("wasabispur")
    }
    return RequestReceived(
        request_id=uuid4().hex,
        organisation=required_header("Wasabispur-Organisation"),
        work_class=required_header("Wasabispur-Class"),
        service=service,
        method=request.method,
        path=path + query,
        headers=headers,
        body=read_body(),
        deadline=read_deadline(),
    )


def read_deadline() -> float:
    """Return the request's deadline in seconds from now."""
    text = cherrypy.request.headers.get("Wasabispur-Deadline-Ms")
    if text is None:
        return DEFAULT_DEADLINE
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= 600_000:
        raise BadRequestError(
            f"header Wasabispur-Deadline-Ms is {text!r}",
            "send a whole number of milliseconds from 1 to 600000",
        )
    return int(text) / 1000


def write_reply(reply: ReplyToCaller) -> bytes:
    """Set status and headers of the HTTP response and return its body."""
    response = cherrypy.response
    response.headers["Wasabispur-Request-Id"] = reply.request_id
    response.headers["Wasabispur-Outcome"] = reply.outcome.value
    if reply.outcome is Outcome.COMPLETED:
        response.status = reply.status
        for name, value in reply.headers.items():
            if name.lower() not in HOP_HEADERS:
                response.headers[name] = value
        return reply.body
    response.status = OUTCOME_STATUS[reply.outcome]
    response.headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
    return error_body("RequestFailed", reply.reason, "see Wasabispur-Outcome")
