"""Build the JSON responses of the stand-ins, which are development tools."""

from __future__ import annotations

import json
from typing import Any

import cherrypy

from wasabispur.http_error import error_body


def json_answer(value: Any, status: int = 200) -> bytes:
    """Set the status and the content type, and return the value as a JSON body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode()


def error_answer(status: int, kind: str, message: str, remedy: str) -> bytes:
    """Set the status and return an error as a JSON body."""
    cherrypy.response.status = status
    return error_body(kind, message, remedy)


def method_not_allowed() -> bytes:
    """Return the error for an HTTP method that the resource doesn't support."""
    return error_answer(
        405,
        "MethodNotAllowed",
        f"{cherrypy.request.method} is not supported by this resource",
        "see section 4.2 of the design page",
    )
