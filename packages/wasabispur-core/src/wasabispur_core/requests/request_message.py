"""Define the messages to the request component of an entry instance."""

from __future__ import annotations

from dataclasses import dataclass

from ..message import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestReceived(Message):
    """Report a request from a caller; the deadline is in seconds from now."""

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
    """Report that the deadline of a request has passed."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryDue(Message):
    """Report that the delay before the next attempt has elapsed."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimCheckDue(Message):
    """Report that the delay before the next check of the claim has elapsed."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestDispatched(Message):
    """Report that a waiting request was dequeued for dispatch."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchDue(Message):
    """Report that the next dispatch of a service's waiting requests is due."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveTimedOut(Message):
    """Report that an agent did not reconnect in time to resolve an attempt."""

    request_id: str
    attempt_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentAttached(Message):
    """Report an agent whose endpoint accepts requests."""

    agent_id: str
    service: str
    region: str
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentDetached(Message):
    """Report that the stream to an agent has ended."""

    agent_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentLeaving(Message):
    """Report that an agent accepts no new work but completes its running attempts."""

    agent_id: str
