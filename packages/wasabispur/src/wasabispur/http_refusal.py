"""Describe, count and log the requests and connections that a server refuses."""

from __future__ import annotations

import json
import time
from collections import Counter
from dataclasses import dataclass, field

from wasabispur_core.error import WasabispurError
from wasabispur_core.log_event import HTTP_REFUSED
from wasabispur_runtime.log import log

from .http_wsgi import Headers

LOG_INTERVAL = 10.0
"""Least seconds between two records of the same cause, however heavy the traffic is."""


class HttpRefusal(WasabispurError):
    """Report a request that the server refuses without running it."""

    def __init__(
        self, status: int, cause: str, message: str, remedy: str, retry_after: int = 0
    ) -> None:
        super().__init__(message, remedy)
        self.status = status
        self.cause = cause
        self.retry_after = retry_after

    def headers(self) -> Headers:
        """Return the header fields of the response."""
        fields = [(b"Content-Type", b"application/json")]
        if self.retry_after:
            fields.append((b"Retry-After", b"%d" % self.retry_after))
        return fields

    def body(self) -> bytes:
        """Return the JSON body of the response."""
        error = {"kind": "Refused", "message": self.message, "remedy": self.remedy}
        return json.dumps({"error": error}).encode()


def overloaded(cause: str) -> HttpRefusal:
    """Return the refusal of a request that was not run for lack of resources."""
    return HttpRefusal(
        503,
        cause,
        "the server is overloaded; the request was not run",
        "send it again after the time in Retry-After",
        retry_after=1,
    )


def too_slow(part: str) -> HttpRefusal:
    """Return the refusal of a request that did not arrive in time."""
    return HttpRefusal(
        408,
        f"slow-{part}",
        f"the {part} of the request did not arrive in time; it was not run",
        "send the whole request without pauses",
    )


@dataclass(slots=True)
class RefusalCounter:
    """Count what one server refuses or closes, by cause, and log it at a bounded rate.

    total contains the counts since the start of the process.
    """

    server: str
    total: Counter[str] = field(default_factory=Counter)
    logged: Counter[str] = field(default_factory=Counter)
    taken: Counter[str] = field(default_factory=Counter)
    logged_at: dict[str, float] = field(default_factory=dict)

    def take_new(self) -> Counter[str]:
        """Return the counts since the last call."""
        total = self.total.copy()
        new = total - self.taken
        self.taken = total
        return new

    def count(self, cause: str) -> None:
        """Count one event, and log the events since the last record if it is due."""
        self.total[cause] += 1
        now = time.monotonic()
        if now - self.logged_at.get(cause, -LOG_INTERVAL) < LOG_INTERVAL:
            return
        self.logged_at[cause] = now
        number = self.total[cause] - self.logged[cause]
        self.logged[cause] = self.total[cause]
        log(HTTP_REFUSED, server=self.server, cause=cause, count=number)
