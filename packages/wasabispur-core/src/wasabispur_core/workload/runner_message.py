"""Define what the agent learns from its worker, and what it calls there."""

from __future__ import annotations

from dataclasses import dataclass

from ..command import Command
from ..message import Message
from .worker import EndedRun, ListedRun, WorkerInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerAnnounced(Message):
    """Deliver a heartbeat of the worker beside the agent."""

    info: WorkerInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerLeft(Message):
    """Deliver the worker's farewell."""

    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunsListed(Message):
    """Deliver a worker's lists; clock is the worker's in seconds.

    sent_at is when the agent asked, in its own monotonic seconds. recurring is set for
    the recurring call.
    """

    worker_id: str
    incarnation: str
    clock: float
    sent_at: float
    runs: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    recurring: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ListFailed(Message):
    """Tell that the worker did not answer; refused if no process listens there."""

    worker_id: str
    incarnation: str
    reason: str
    refused: bool = False
    recurring: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunAnswer(Message):
    """Base of the answers to calls about one run."""

    worker_id: str
    incarnation: str
    task: str
    run: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartAccepted(RunAnswer):
    """Tell that the worker has the run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRejected(RunAnswer):
    """Tell that the worker did not start the run, and why."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartUnanswered(RunAnswer):
    """Tell that the worker may have started the run, or may start it later."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StopAccepted(RunAnswer):
    """Tell that the run will end, or never start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopUnanswered(RunAnswer):
    """Tell that it is unknown whether the worker took the stop."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerCall(Command):
    """Base of the calls to the worker; address is host:port."""

    worker_id: str
    incarnation: str
    address: str
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun(WorkerCall):
    """Start a run under a lease that ends at a time of the worker's clock."""

    task: str
    run: int
    payload: str
    checkpoint: str
    lease_end: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRun(WorkerCall):
    """Stop a run, and bar it from starting later."""

    task: str
    run: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRuns(WorkerCall):
    """Ask for the worker's lists, waiting up to wait seconds for an end.

    lease_end extends the lease of all that runs unless it is zero. A recurring
    call is made again as soon as it is answered.
    """

    acknowledged: int
    wait: float
    lease_end: float
    recurring: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRetryDue(Message):
    """Tell that a call about a run should be repeated."""

    worker_id: str
    task: str
    run: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRetryDue(Message):
    """Tell that the worker's lists should be asked for again."""

    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunnerTick(Message):
    """Tell the agent that time has passed."""
