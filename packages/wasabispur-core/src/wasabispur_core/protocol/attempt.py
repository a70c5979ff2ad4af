"""Define the messages about one attempt of a request.

A permit lets an entry start one attempt at the agent's endpoint.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..message import Message
from .reason import Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitId:
    """Identify a permit by the agent's incarnation and an increasing number in it."""

    incarnation: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestPermit(Message):
    """Request a start permit; remaining is the time to the deadline in seconds."""

    attempt_id: str
    request_id: str
    remaining: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitGranted(Message):
    """Permit one start within lifetime seconds of the agent's clock."""

    attempt_id: str
    permit_id: PermitId
    lifetime: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitRefused(Message):
    """Refuse a start; the attempt did not run."""

    attempt_id: str
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class StartAttempt(Message):
    """Start an attempt with its permit; remaining is the seconds to the deadline."""

    attempt_id: str
    permit_id: PermitId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    remaining: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt(Message):
    """Cancel an attempt: prevent its start, or discard its response."""

    attempt_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveAttempt(Message):
    """Ask for the outcome of an attempt after the loss of its stream."""

    attempt_id: str
    permit_id: PermitId


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptCompleted(Message):
    """Deliver the endpoint's complete response."""

    attempt_id: str
    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptNotRun(Message):
    """Confirm that the attempt did not run and will not run."""

    attempt_id: str
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptUnknown(Message):
    """Report that the attempt may or may not have run."""

    attempt_id: str
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRunning(Message):
    """Report that the attempt is still running; answers ResolveAttempt."""

    attempt_id: str
