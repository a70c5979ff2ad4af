"""Read and validate the HTTP requests that an entry instance receives."""

from __future__ import annotations

from typing import TypeVar

import cherrypy
from cheroot.errors import MaxSizeExceeded
from pydantic import BaseModel, ValidationError

from wasabispur_core.limit import BODY_LIMIT_BYTES

from .http_error import BadRequestError, BodyTooLargeError

ModelT = TypeVar("ModelT", bound=BaseModel)


def read_body() -> bytes:
    """Return the complete body of the current request.

    Raises BodyTooLargeError or, for a body that ends early, BadRequestError.
    """
    try:
        body: bytes = cherrypy.request.rfile.read(BODY_LIMIT_BYTES + 1)
    except MaxSizeExceeded as error:
        raise body_too_large() from error
    except (ValueError, TimeoutError) as error:
        raise incomplete_body() from error
    except OSError as error:
        # cheroot reports a chunk over the limit as an OSError without an errno.
        raise (incomplete_body() if error.errno else body_too_large()) from error
    if len(body) > BODY_LIMIT_BYTES:
        raise body_too_large()
    announced = cherrypy.request.headers.get("Content-Length", "")
    if announced.isascii() and announced.isdigit() and len(body) < int(announced):
        raise incomplete_body()
    return body


def body_too_large() -> BodyTooLargeError:
    """Return the error for a body over the limit."""
    return BodyTooLargeError(
        f"the body exceeds {BODY_LIMIT_BYTES} bytes", "send a smaller body"
    )


def incomplete_body() -> BadRequestError:
    """Return the error for a body that ended early."""
    return BadRequestError(
        "the body is incomplete or malformed", "send the whole request again"
    )


def read_model(model: type[ModelT]) -> ModelT:
    """Return the validated JSON body; raise BadRequestError."""
    try:
        return model.model_validate_json(read_body())
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
