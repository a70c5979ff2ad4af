"""Define callers' requests to the job intake and its answers.

The HTTP front end of an entry instance translates between these messages and requests
on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ...command import Command
from ...message import Message
from ..jobs.progress import JobState
from ..jobs.spec import StepSpec


class CallOutcome(StrEnum):
    """Define the outcomes of a caller's request.

    NOT_ACCEPTED: the job never runs. INVALID: the same job can never be accepted.
    UNKNOWN: the request may have taken effect.
    """

    DONE = "done"
    NOT_ACCEPTED = "not accepted"
    INVALID = "not valid"
    UNKNOWN = "unknown"
    NO_QUEUE = "no such queue"
    NO_JOB = "no such job"
    NO_KEY = "the key is unknown"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class IntakeRequest(Message):
    """Define the base of callers' requests.

    path is the queue's prefix, followed by the job's id unless the request is about the
    queue. key_digest identifies the organisation's API key and is empty without a key.
    """

    call_id: str
    host: str
    path: str
    key_digest: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob(IntakeRequest):
    """Submit a job.

    repeats is the number of occurrences, repeat_interval seconds apart; zero means that
    the job runs once and starts immediately. start_at is in seconds on the wall clock.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    repeat_interval: float = 0.0
    start_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob(IntakeRequest):
    """Cancel a job."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadJob(IntakeRequest):
    """Read a job's state, or the queue's length if the path names no job."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller(Command):
    """Answer a caller's request; retry_after is in seconds."""

    call_id: str
    outcome: CallOutcome
    job_state: JobState | None = None
    waiting: int | None = None
    reason: str = ""
    retry_after: float = 0.0
