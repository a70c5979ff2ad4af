"""Map typed errors to the HTTP responses of an entry instance."""

from __future__ import annotations

import json
import sys
from functools import singledispatch

import cherrypy

from wasabispur_core.error import MailboxFullError, WasabispurError
from wasabispur_core.log_event import HTTP_REQUEST_FAILED
from wasabispur_runtime.log import log_failure

from .bridge import ReplyTimeoutError


class BadRequestError(WasabispurError):
    """Report a request that can't be understood."""


class NotFoundError(WasabispurError):
    """Report a resource that doesn't exist."""


class BodyTooLargeError(WasabispurError):
    """Report a request body over the limit."""


@singledispatch
def http_status(error: WasabispurError) -> int:
    """Return the HTTP status for a typed error; 500 if none is registered."""
    return 500


@http_status.register
def _(error: BadRequestError) -> int:
    return 400


@http_status.register
def _(error: NotFoundError) -> int:
    return 404


@http_status.register
def _(error: BodyTooLargeError) -> int:
    return 413


@http_status.register
def _(error: MailboxFullError) -> int:
    return 503


@http_status.register
def _(error: ReplyTimeoutError) -> int:
    return 504


def error_body(kind: str, message: str, remedy: str) -> bytes:
    """Return the JSON body of an error and set its content type."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    error = {"kind": kind, "message": message, "remedy": remedy}
    return json.dumps({"error": error}).encode()


def handle_error() -> None:
    """Respond to an uncaught exception with a JSON error without a traceback."""
    response = cherrypy.response
    error = sys.exc_info()[1]
    if isinstance(error, WasabispurError):
        response.status = http_status(error)
        response.body = error_body(error.kind, error.message, error.remedy)
        return
    log_failure(HTTP_REQUEST_FAILED, path=cherrypy.request.path_info, error=str(error))
    response.status = 500
    response.body = error_body(
        "Internal", "the entry failed to handle the request", "see the entry's log"
    )


def handle_http_error(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the JSON body of an error that cherrypy itself raised."""
    return error_body("Http", f"{status}: {message}", "see the HTTP interface page")
