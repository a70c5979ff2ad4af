"""Serve requests to endpoints over an entry instance's HTTP interface."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from uuid import uuid4

import cherrypy

from wasabispur_core.error import MailboxFullError, WasabispurError
from wasabispur_core.protocol import Reason
from wasabispur_core.requests.outcome import Outcome, ReplyToCaller
from wasabispur_core.requests.request_message import RequestReceived

from .bridge import Bridge, ReplyTimeoutError
from .http_error import BadRequestError, error_body
from .http_request import read_body, required_header
from .request_dispatcher import RequestDispatcher

DEFAULT_DEADLINE = 30.0
"""Seconds that a request without a deadline header may take."""

REPLY_GRACE = 1.0
"""Seconds beyond the deadline that a thread waits for the dispatcher."""

OUTCOME_STATUS = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504}

REASON_STATUS = {
    Reason.UNKNOWN_CLASS.value: 400,
    Reason.KEY_MISSING.value: 400,
    Reason.KEY_REUSED.value: 409,
    Reason.QUEUE_FULL.value: 429,
    Reason.WAIT_TOO_LONG.value: 429,
}
"""HTTP statuses by the reason of a request that did not complete."""

HOP_BY_HOP_HEADERS = frozenset(
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
    """Serve /v1/services."""

    bridge: Bridge
    dispatcher: RequestDispatcher

    @cherrypy.expose
    def default(self, service: str, *path: str, **query: str) -> bytes:
        """Run one request and return the endpoint's response."""
        message = read_request(service, "/" + "/".join(path))
        return write_reply(self.ask(message))

    def ask(self, message: RequestReceived) -> ReplyToCaller:
        """Return the dispatcher's reply, or a substitute if there is none.

        With a full mailbox the request was not run. After a timeout it may have been
        run, so its outcome is unknown.
        """
        wait = message.deadline + REPLY_GRACE
        try:
            reply: ReplyToCaller = self.bridge.ask(self.dispatcher, message, wait)
        except MailboxFullError as error:
            return _failed_reply(message, Outcome.NOT_RUN, error)
        except ReplyTimeoutError as error:
            return _failed_reply(message, Outcome.UNKNOWN, error)
        return reply


def _failed_reply(
    message: RequestReceived, outcome: Outcome, error: WasabispurError
) -> ReplyToCaller:
    return ReplyToCaller(
        request_id=message.request_id, outcome=outcome, reason=error.message
    )


def read_request(service: str, path: str) -> RequestReceived:
    """Return the typed request in the current HTTP request."""
    request = cherrypy.request
    query = f"?{request.query_string}" if request.query_string else ""
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and not name.lower().startswith("wasabispur")
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
        idempotency_key=request.headers.get("Idempotency-Key", ""),
        caller=request.headers.get("Wasabispur-Caller", ""),
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
            if name.lower() not in HOP_BY_HOP_HEADERS:
                response.headers[name] = value
        return reply.body
    status = OUTCOME_STATUS[reply.outcome]
    response.status = REASON_STATUS.get(reply.reason, status)
    response.headers["Retry-After"] = str(max(1, ceil(reply.retry_after)))
    return error_body("RequestFailed", reply.reason, "see Wasabispur-Outcome")
