"""Define the messages to the request component."""

from __future__ import annotations

from dataclasses import dataclass

from .message import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestReceived(Message):
    """Report a caller's request; deadline is in seconds from now."""

    request_id: str
    organisation: str
    work_class: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    idempotency_key: str = ""
    caller: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineReached(Message):
    """Report that a request's time is over."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryDue(Message):
    """Report that the delay before the next attempt is over."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimCheckDue(Message):
    """Report that the delay before the next look at the claim is over."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestDispatched(Message):
    """Report that a waiting request's turn has come."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchDue(Message):
    """Tell to look again for an endpoint for waiting requests."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveTimedOut(Message):
    """Report that an agent did not come back to tell how an attempt ended."""

    request_id: str
    attempt_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentAttached(Message):
    """Report an endpoint that can take requests."""

    agent_id: str
    service: str
    region: str
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentDetached(Message):
    """Report that the stream to an agent is gone."""

    agent_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentLeaving(Message):
    """Report that an agent takes no new work but finishes what it runs."""

    agent_id: str
