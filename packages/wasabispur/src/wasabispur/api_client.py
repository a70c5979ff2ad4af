"""Call the HTTP interface of an entry from the command line."""

from __future__ import annotations

import json
from typing import Any

import urllib3

from wasabispur_core.error import StoreError, WasabispurError

CONNECT_TIMEOUT = 3.0
CALL_TIMEOUT = 20.0
"""Seconds that one call may take."""


class ApiError(WasabispurError):
    """Report an error that the entry answered with."""


class ApiUnavailableError(StoreError):
    """Report an entry that gave no answer."""


class ApiClient:
    """Own the connections to one entry."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.pool = urllib3.connection_from_url(url)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the JSON answer; raise ApiError or ApiUnavailableError."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT, total=CALL_TIMEOUT)
        try:
            response = self.pool.urlopen(
                method,
                path,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                retries=False,
            )
            answer = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise ApiUnavailableError(
                f"entry {self.url} gave no valid answer: {error}",
                "check the address, or use another entry",
            ) from error
        if response.status < 400:
            return answer
        problem = answer.get("error", {})
        raise ApiError(
            str(problem.get("message", f"status {response.status}")),
            str(problem.get("remedy", "see the entry's log")),
        )
