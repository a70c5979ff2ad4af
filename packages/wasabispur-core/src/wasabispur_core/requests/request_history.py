"""Keep the outcomes of ended requests at an entry instance for status queries."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ..command import Command
from ..message import Message
from .outcome import Outcome, ReplyToCaller

HISTORY_LIMIT = 20_000
"""Ended requests whose outcome an entry keeps."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LookUpRequest(Message):
    """Query the status of a request."""

    lookup_id: str
    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestStatus:
    """Describe the state of a request; the outcome is None while it is in progress."""

    request_id: str
    state: str
    outcome: Outcome | None
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyToLookup(Command):
    """Answer a status query; the status is None if this entry knows no such request."""

    lookup_id: str
    status: RequestStatus | None


@dataclass(slots=True)
class RequestHistory:
    """Store the outcomes of the latest ended requests of one entry."""

    ended: OrderedDict[str, RequestStatus] = field(default_factory=OrderedDict)

    def add(self, reply: ReplyToCaller) -> None:
        """Record an outcome, and evict the oldest outcomes over the limit."""
        self.ended[reply.request_id] = RequestStatus(
            request_id=reply.request_id,
            state="ended",
            outcome=reply.outcome,
            reason=reply.reason,
        )
        while len(self.ended) > HISTORY_LIMIT:
            self.ended.popitem(last=False)
