"""Serve the status of requests over an entry instance's HTTP interface."""

from __future__ import annotations

import json
from dataclasses import dataclass
from uuid import uuid4

import cherrypy

from wasabispur_core.requests.request_history import LookUpRequest, RequestStatus

from .bridge import Bridge
from .http_error import NotFoundError
from .request_dispatcher import RequestDispatcher

LOOKUP_TIMEOUT = 5.0
"""Seconds that a thread waits for the dispatcher's reply."""


@dataclass(slots=True)
class RequestResource:
    """Serve /v1/requests."""

    bridge: Bridge
    dispatcher: RequestDispatcher

    @cherrypy.expose
    def default(self, request_id: str) -> bytes:
        """Return the status of a request that this entry received."""
        message = LookUpRequest(lookup_id=uuid4().hex, request_id=request_id)
        status: RequestStatus | None = self.bridge.ask(
            self.dispatcher, message, LOOKUP_TIMEOUT
        )
        if status is None:
            raise NotFoundError(
                f"request {request_id} isn't known at this entry",
                "send the request again with its idempotency key for the outcome",
            )
        cherrypy.response.headers["Content-Type"] = "application/json"
        return json.dumps(describe(status)).encode()


def describe(status: RequestStatus) -> dict[str, str | None]:
    """Return the JSON object of a request's status."""
    outcome = status.outcome.value if status.outcome else None
    return {
        "request_id": status.request_id,
        "state": status.state,
        "outcome": outcome,
        "reason": status.reason,
    }
