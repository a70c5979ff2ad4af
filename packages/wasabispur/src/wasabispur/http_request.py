"""Read and validate the HTTP requests that an entry instance receives."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import cherrypy
from pydantic import BaseModel, ValidationError

from wasabispur_core.http_limits import PUBLISHED_BODY_BYTES
from wasabispur_core.limit import BODY_LIMIT_BYTES

from .http_error import BadRequestError, BodyTooLargeError

VALUES_LIMIT = 65_536
"""Commas in a body over the published size.

A value takes up to 256 bytes while the body is parsed, and an error 1.2 KB.
"""

ModelT = TypeVar("ModelT", bound=BaseModel)


def read_body() -> bytes:
    """Return the body of the current request; raise BodyTooLargeError.

    The server passes on complete bodies only.
    """
    body: bytes = cherrypy.request.rfile.read(BODY_LIMIT_BYTES + 1)
    if len(body) > BODY_LIMIT_BYTES:
        raise body_too_large()
    return body


def body_too_large() -> BodyTooLargeError:
    """Return the error for a body over the limit."""
    return BodyTooLargeError(
        f"the body exceeds {BODY_LIMIT_BYTES} bytes", "send a smaller body"
    )


def check_values(body: bytes) -> bytes:
    """Return the JSON body; raise BadRequestError if it has very many values."""
    if len(body) > PUBLISHED_BODY_BYTES and body.count(b",") > VALUES_LIMIT:
        raise BadRequestError(
            f"the body has more than {VALUES_LIMIT} values", "send a smaller body"
        )
    return body


def decode_json(body: bytes) -> Any:
    """Return the value of a JSON body; raise BadRequestError.

    The library that validates decodes a list of a few bytes to some 640, so that a body
    of 262,144 bytes took 56 MB; this takes a tenth of that.
    """
    try:
        return json.loads(check_values(body))
    except (ValueError, RecursionError) as error:
        raise BadRequestError(
            f"the body is not valid JSON: {error}", "correct the body and send it again"
        ) from error


def read_model(model: type[ModelT]) -> ModelT:
    """Return the validated JSON body; raise BadRequestError."""
    try:
        return model.model_validate_json(check_values(read_body()))
    except ValidationError as error:
        problem = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in problem["loc"]) or "body"
        raise BadRequestError(
            f"{field} is not valid: {problem['msg']}",
            "correct the field and send the request again",
        ) from error


def required_header(name: str) -> str:
    """Return a header's value; raise BadRequestError if it is missing."""
    value = cherrypy.request.headers.get(name)
    if not value:
        raise BadRequestError(f"header {name} is missing", f"send the {name} header")
    return str(value)
