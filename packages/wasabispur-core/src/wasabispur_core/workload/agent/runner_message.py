"""Define the messages from a worker to the runner of its agent, and the calls back.

The agent's adapter translates between these messages and the worker's protocol.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...command import Command
from ...message import Message
from ..workers.worker import EndedRun, ListedRun, WorkerInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerAnnounced(Message):
    """Deliver a heartbeat of a worker beside the agent."""

    info: WorkerInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerLeft(Message):
    """Report that the worker has deregistered."""

    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunsListed(Message):
    """Deliver a worker's lists of its active and its ended runs.

    clock is the worker's clock in seconds. sent_at is the time at which the agent sent
    the request, in the agent's monotonic seconds. recurring is set in the answer to the
    recurring call.
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
    """Report an unanswered request; refused is set if the connection was refused."""

    worker_id: str
    incarnation: str
    reason: str
    refused: bool = False
    recurring: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunAnswer(Message):
    """Define the base of the results of calls about one run."""

    worker_id: str
    incarnation: str
    task: str
    run: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartAccepted(RunAnswer):
    """Report that the worker has accepted the run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRejected(RunAnswer):
    """Report that the worker refused to start the run, with its reason."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartUnanswered(RunAnswer):
    """Report a start without an answer; the worker may start the run even later.

    If sent is not set, no connection was made, and the call had no effect. timed_out is
    set if the connection was intact until the agent gave up. elapsed is the time in
    seconds for which the call was under way, if it was measured there.
    """

    reason: str
    sent: bool = True
    timed_out: bool = False
    elapsed: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StopAccepted(RunAnswer):
    """Report that the worker has accepted a stop; the run ends or never starts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopUnanswered(RunAnswer):
    """Report a stop without an answer; the worker may have accepted it."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerCall(Command):
    """Define the base of the calls to a worker.

    address is host:port. epoch is the fencing epoch of the shard's owner.
    """

    worker_id: str
    incarnation: str
    address: str
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun(WorkerCall):
    """Start a run; its lease ends at lease_end, in seconds on the worker's clock."""

    task: str
    run: int
    payload: str
    checkpoint: str
    lease_end: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRun(WorkerCall):
    """Stop a run, and prevent a later start of it."""

    task: str
    run: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRuns(WorkerCall):
    """Request the worker's lists, with a long poll of up to wait seconds.

    acknowledged is the highest number of an ended run that the owner has recorded.
    lease_end extends the lease of all runs to a time on the worker's clock in seconds,
    unless it is 0. The runner makes the recurring call again when it is answered.
    """

    acknowledged: int
    wait: float
    lease_end: float
    recurring: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRetryDue(Message):
    """Tell the runner that the retry of a call about a run is due."""

    worker_id: str
    task: str
    run: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRetryDue(Message):
    """Tell the runner that the next request for a worker's lists is due."""

    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunnerTick(Message):
    """Tell the runner to check for work that is due."""
