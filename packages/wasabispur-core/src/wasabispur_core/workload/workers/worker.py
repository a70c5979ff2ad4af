"""Define agents' reports on workers and the owner's orders for them.

Each worker has an agent, which writes a report on it to the table service. The owner,
which is the entry instance that owns the shard, answers with orders: the complete list
of runs that the worker should have.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ...message import Message
from ..jobs.spec import NO_RESOURCES, Resources

CHECKPOINT_LIMIT_BYTES = 256
"""Maximum size of a checkpoint, encoded as JSON, so that it fits into each row."""


class WorkerState(StrEnum):
    """Define whether a worker accepts new runs."""

    READY = "ready"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    GONE = "gone"


class HealthAnswer(StrEnum):
    """Define a worker's last answer to the health checks of its agent.

    UNKNOWN: there was none yet, or the agent makes no checks. UNANSWERED: several
    checks in succession got no valid answer.
    """

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"
    UNANSWERED = "unanswered"

    @classmethod
    def _missing_(cls, value: object) -> HealthAnswer:
        """Return UNKNOWN for the answers of a later version."""
        return cls.UNKNOWN


class EndKind(StrEnum):
    """Define how a run ended.

    LAPSED: its lease expired on the worker. BROKEN: another member of its gang ended.
    ALONE: its gang was not complete in time. REFUSED: the worker or its agent did not
    start it. CRASHED: the worker's process ended under it without having announced
    that it leaves. LOST: the worker left, or no report on it has arrived for the lease
    horizon. UNKNOWN: the other members of its gang show that it ended, but not how.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"
    CRASHED = "crashed"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedRun:
    """Describe one run in a worker's list of active runs.

    percent is the completed share of its work. idle is set if the run has used no cpu
    recently. A run of a long-running step stays active at 100 percent.
    """

    task: str
    run: int
    checkpoint: str = ""
    percent: int = 100
    idle: bool = False


def listed_keys(runs: tuple[ListedRun, ...]) -> set[tuple[str, int]]:
    """Return the tasks and run numbers in a worker's list of active runs."""
    return {(run.task, run.run) for run in runs}


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """Describe an ended run; number counts the ended runs of the incarnation."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedRun:
    """Describe a run that is not at the worker and can't start there any more.

    crashed is set if the worker's process ended after the agent had asked it to start
    the run, and had not announced that it leaves. uncertain is set if the run may not
    have begun then.
    """

    task: str
    run: int
    reason: str
    crashed: bool = False
    uncertain: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerInfo:
    """Describe a worker as it announces itself.

    remaining is the time until a draining worker leaves, and cold_left that for which a
    worker is slow after its start, both in seconds. An incarnation is
    the number of the worker's start: one with more digits, or a larger number of as
    many digits, is later. Of two workers of one agent at one address, the later one
    has replaced the earlier one.
    """

    worker_id: str
    incarnation: str
    service: str
    data_centre: str
    address: str = ""
    capacity: Resources = NO_RESOURCES
    labels: tuple[str, ...] = ()
    state: WorkerState = WorkerState.READY
    remaining: float = 0.0
    cold_left: float = 0.0
    sequence: int = 0

    @property
    def rack(self) -> str:
        """Return the worker's rack label, or an empty string if it has none."""
        return next((label for label in self.labels if is_rack_label(label)), "")


def incarnation_sort_key(incarnation: str) -> tuple[int, str]:
    """Return a sort key that orders incarnations by their start."""
    return len(incarnation), incarnation


def is_later_incarnation(incarnation: str, other: str) -> bool:
    """Return whether an incarnation of a worker started after another one."""
    return incarnation_sort_key(incarnation) > incarnation_sort_key(other)


def is_rack_label(label: str) -> bool:
    """Return whether a label names a rack, such as r1-3."""
    head, _, tail = label.partition("-")
    return head[:1] == "r" and head[1:].isdigit() and tail.isdigit()


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """Describe the complete state of one worker as its agent knows it.

    number counts the agent's reports. listing counts the run lists received from the
    worker: a report with the same listing as the one before contains no newer list.
    session is a new value after each time in which the owner may have taken the runs
    for lost: a restart of the agent, or a silence of the lease horizon. cordoned is set
    if the agent has read that the worker's data centre is cordoned. health is the
    worker's answer to health checks, health_age the seconds since which it holds, and
    health_changes the number of its changes so far.
    """

    agent_id: str
    number: int
    info: WorkerInfo
    session: str = ""
    cordoned: bool = False
    listing: int = 0
    runs: tuple[ListedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    refused: tuple[RefusedRun, ...] = ()
    health: HealthAnswer = HealthAnswer.UNKNOWN
    health_age: float = 0.0
    health_changes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOrder:
    """Request a run, or its stop if stop is set; job_id refers to the payload."""

    task: str
    run: int
    job_id: str
    checkpoint: str = ""
    stop: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerOrders:
    """Describe the desired runs of one incarnation of a worker.

    epoch is the owner's fencing epoch, acknowledged the number of the last ended run
    that the owner has recorded, and payloads maps job ids to payloads. session is that
    of the last report that the owner has applied, or empty if the owner is of a version
    without sessions.
    """

    worker_id: str
    incarnation: str
    epoch: int
    acknowledged: int = 0
    session: str = ""
    runs: tuple[RunOrder, ...] = ()
    payloads: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportArrived(Message):
    """Deliver an agent's report on a worker; version is that of its row."""

    report: WorkerReport
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersArrived(Message):
    """Deliver the owner's orders for one worker."""

    orders: WorkerOrders
