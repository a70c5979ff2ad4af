"""Call the HTTP interface of an entry instance from the operators' command line."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import urllib3

from wasabispur_core.error import WasabispurError
from wasabispur_runtime.process import EXIT_CODES, ExitCode

CONNECT_TIMEOUT = 2.0
READ_TIMEOUT = 15.0
"""Seconds; an entry replies to an operator within 11 s."""

OUTCOME_HEADER = "Wasabispur-Outcome"


class ApiError(WasabispurError):
    """Report an entry's error reply; kind_name is the entry's error kind."""

    def __init__(self, kind_name: str, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.kind_name = kind_name

    @property
    def kind(self) -> str:
        """Return the error kind that the entry named."""
        return self.kind_name


class ApiConflictError(ApiError):
    """Report a call that conflicts with an earlier one or is out of order."""


class ApiRefusedError(ApiError):
    """Report input, a signature or an operator that the entry refused."""


class ApiNotFoundError(ApiError):
    """Report a resource that doesn't exist."""


class ApiUnavailableError(ApiError):
    """Report an entry or table service that can't serve the call."""


class OutcomeUnknownError(ApiError):
    """Report a call that may or may not have taken effect."""


EXIT_CODES.update(
    {
        ApiConflictError: ExitCode.CONFLICT,
        ApiRefusedError: ExitCode.REFUSED,
        ApiNotFoundError: ExitCode.NOT_FOUND,
        ApiUnavailableError: ExitCode.UNAVAILABLE,
        OutcomeUnknownError: ExitCode.OUTCOME_UNKNOWN,
    }
)

STATUS_ERRORS: dict[int, type[ApiError]] = {
    400: ApiRefusedError,
    403: ApiRefusedError,
    404: ApiNotFoundError,
    409: ApiConflictError,
    413: ApiRefusedError,
    429: ApiUnavailableError,
    503: ApiUnavailableError,
    504: OutcomeUnknownError,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiReply:
    """Represent an entry's reply to one HTTP call."""

    status: int
    headers: dict[str, str]
    body: bytes


class ApiClient:
    """Call one entry over HTTP.

    Calls are never retried, since a call that changes state may have taken effect.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.pool = urllib3.PoolManager()

    def get(self, path: str) -> dict[str, Any]:
        """Return the JSON reply; raise ApiError."""
        return self.read(self.call("GET", path))

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a JSON body and return the JSON reply; raise ApiError."""
        data = json.dumps(body).encode()
        return self.read(
            self.call("POST", path, data, {"Content-Type": "application/json"})
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        read_timeout: float = READ_TIMEOUT,
    ) -> ApiReply:
        """Return the reply to one HTTP call; raise ApiError if none arrives."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT, read=read_timeout)
        try:
            response = self.pool.request(
                method,
                self.url + path,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ) as error:
            raise ApiUnavailableError(
                "Unreachable",
                f"the entry at {self.url} can't be reached",
                "name another entry with --entry",
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise OutcomeUnknownError(
                "ReplyLost",
                f"the entry at {self.url} did not reply: {type(error).__name__}",
                "check the state before you repeat the command",
            ) from error
        return ApiReply(
            status=response.status, headers=dict(response.headers), body=response.data
        )

    def read(self, reply: ApiReply) -> dict[str, Any]:
        """Return the JSON body of a successful reply; raise ApiError."""
        value = self.parse(reply)
        if reply.status < 300:
            return value
        error = value.get("error")
        if not isinstance(error, dict):
            error = {}
        raise STATUS_ERRORS.get(reply.status, ApiError)(
            str(error.get("kind", "Http")),
            str(error.get("message", f"the entry replied {reply.status}")),
            str(error.get("remedy", "see the entry's log")),
        )

    def parse(self, reply: ApiReply) -> dict[str, Any]:
        """Return the JSON object in a body; raise ApiError."""
        try:
            value = json.loads(reply.body)
        except ValueError:
            value = None
        if isinstance(value, dict):
            return value
        raise ApiError(
            "Malformed",
            f"the reply of {self.url} is no JSON object",
            "check that --entry names the HTTP address of an entry",
        )
