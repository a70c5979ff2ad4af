"""Define what callers ask of the job intake, and what they are told."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..command import Command
from ..message import Message
from .progress import JobState
from .spec import StepSpec


class CallOutcome(StrEnum):
    """Tell how a caller's request ended.

    NOT_ACCEPTED: the job never runs. UNKNOWN: it may have been accepted.
    """

    DONE = "done"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"
    NO_QUEUE = "no such queue"
    NO_JOB = "no such job"
    NO_KEY = "the key is unknown"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class IntakeRequest(Message):
    """Base of the callers' requests; key_digest is empty without a key."""

    call_id: str
    host: str
    path: str
    key_digest: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob(IntakeRequest):
    """Ask for a job to be accepted."""

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    repeat_interval: float = 0.0
    start_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob(IntakeRequest):
    """Ask for a job to be cancelled."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadJob(IntakeRequest):
    """Ask for a job's state, or for a queue's length where the path names no job."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller(Command):
    """Tell a caller how its request ended; retry_after is in seconds."""

    call_id: str
    outcome: CallOutcome
    job_state: JobState | None = None
    waiting: int | None = None
    reason: str = ""
    retry_after: float = 0.0
