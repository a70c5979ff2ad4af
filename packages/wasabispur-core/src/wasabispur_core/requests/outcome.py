"""Define the outcomes of requests and the replies to callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..command import Command


class Outcome(Enum):
    """Define the outcomes of a request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyToCaller(Command):
    """Send the caller the outcome and, if completed, the endpoint's response.

    Without a response, retry_after is the time in seconds after which to try again.
    """

    request_id: str
    outcome: Outcome
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    reason: str = ""
    retry_after: float = 1.0
