"""Define the state of an agent's runner, and the events of ordered runs.

The runner starts and stops runs at the workers beside the agent, as the entry instance
that owns the shard orders.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from ...chart import Chart, Lifecycle
from ...message import Message
from ..policies.policy import FleetPolicy
from ..workers.worker import (
    EndedRun,
    HealthAnswer,
    ListedRun,
    RunOrder,
    WorkerInfo,
    WorkerOrders,
    WorkerState,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Define the durations of leases in seconds.

    max_duration is the longest lease that a worker grants. A lease ends at the latest
    horizon seconds after the agent sent the last report that the store confirmed, so
    that runs end if the agent can't write reports any more.
    """

    max_duration: float
    horizon: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthTimes:
    """Define the interval and the timeout of a worker's health checks in seconds."""

    interval: float
    timeout: float


@dataclass(slots=True, kw_only=True)
class HealthCheck:
    """Represent the health checks of one incarnation of a worker.

    answer holds since since, in monotonic seconds. in_flight is set while a check is in
    progress, and unanswered counts the successive ones without a valid answer. changes
    counts the changes of the answer, also of former incarnations, and reason states why
    it changed. logged and logged_changes are the answer and the number of changes at
    the last log line, which was written at logged_at.
    """

    answer: HealthAnswer = HealthAnswer.UNKNOWN
    since: float = -inf
    in_flight: bool = False
    unanswered: int = 0
    changes: int = 0
    reason: str = ""
    logged: HealthAnswer = HealthAnswer.HEALTHY
    logged_changes: int = 0
    logged_at: float = -inf


@dataclass(slots=True, kw_only=True)
class OrderedRun:
    """Represent a run that the shard's owner ordered on a worker.

    unconfirmed is set until the worker's lists show whether the worker has the run
    already. abandoned is set once the worker can't have the run any more, because its
    process has ended or its lease has expired. refusal_reason is the reason why the run
    did not start, and process_ended is set if the worker's process ended without having
    announced it. start_calls counts the calls that may have started it. begun is set
    once something shows that the worker began it, and may_have_begun once the
    connection of such a call broke. stop_accepted_at is the time at which the worker
    accepted a stop, in monotonic seconds. retries counts the retries of unanswered
    calls.
    """

    order: RunOrder
    payload: str
    lifecycle: Lifecycle
    unconfirmed: bool = False
    abandoned: bool = False
    refusal_reason: str = ""
    start_calls: int = 0
    begun: bool = False
    may_have_begun: bool = False
    process_ended: bool = False
    stop_accepted_at: float = inf
    retries: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return the task and the run's number."""
        return self.order.task, self.order.run

    @property
    def crashed(self) -> bool:
        """Return whether the worker's process ended under the run, or may have."""
        return self.process_ended and (self.begun or self.may_have_begun)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClockReading:
    """Describe a worker's clock at a time, both in seconds.

    read_at is in the agent's monotonic seconds, and not before the clock was read.
    """

    time: float
    read_at: float


@dataclass(slots=True, kw_only=True)
class LocalWorker:
    """Represent one incarnation of a worker beside the agent.

    Times are in the agent's monotonic seconds: list_requested_at is the time of the
    request that returned the newest lists, and lease_until the latest time at which the
    worker may take its lease as valid, whoever granted it. clock is the worker's clock
    with the newest lists, or None until the first lists arrive. runs and ended are the
    newest lists, and list_count counts the lists that this process received: until the
    first, they are the lists that the last report had, and former_listing is its count.
    ordered contains the ordered runs by task and run number. started contains the times
    of the last start calls for runs of which one may be without an answer, also of
    calls to former incarnations, and former_runs the runs of those, which this
    incarnation bars before it is reported. former_crashes contains the runs that former
    incarnations had begun when they ended, until the owner has applied a report on the
    present one. failed_lists counts the recurring requests for the lists that failed in
    a row, and refused_connections the refused connections. process_gone is set once
    these showed that the process has ended, until this incarnation answers
    nevertheless.
    """

    info: WorkerInfo
    lease_until: float
    announced_at: float
    clock: ClockReading | None = None
    list_requested_at: float = -inf
    reachable: bool = True
    runs: tuple[ListedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    orders: WorkerOrders | None = None
    ordered: dict[tuple[str, int], OrderedRun] = field(default_factory=dict)
    started: dict[tuple[str, int], float] = field(default_factory=dict)
    former_runs: dict[tuple[str, int], OrderedRun] = field(default_factory=dict)
    former_crashes: set[tuple[str, int]] = field(default_factory=set)
    list_in_flight: bool = False
    list_count: int = 0
    former_listing: int = 0
    list_failed_at: float = -inf
    failed_lists: int = 0
    refused_connections: int = 0
    process_gone: bool = False
    departed: bool = False

    @property
    def settled(self) -> bool:
        """Return whether no run of a former incarnation can start any more."""
        return all(run.lifecycle.final for run in self.former_runs.values())

    @property
    def epoch(self) -> int:
        """Return the epoch of the last orders."""
        return self.orders.epoch if self.orders else 0

    def silence(self, now: float) -> float:
        """Return the seconds since the last heartbeat, or list that was answered."""
        return now - max(self.announced_at, self.list_requested_at)

    @property
    def state(self) -> WorkerState:
        """Return the state that is reported."""
        if self.departed:
            return WorkerState.GONE
        return self.info.state if self.reachable else WorkerState.UNREACHABLE


@dataclass(slots=True, kw_only=True)
class ReportState:
    """Represent the row with the report on one worker.

    Times are in monotonic seconds. version is the version of the row, or None if the
    row has to be read first. in_flight is the id of the write in progress, or empty.
    The row is neither read nor written before retry_at. confirmed_at is the time at
    which the last report that the store confirmed was sent. deleting is set if the
    write in progress deletes the row, as its worker was removed. session is that of the
    reports, as WorkerReport describes it.
    """

    session: str
    version: int | None = None
    number: int = 0
    reading: bool = False
    in_flight: str = ""
    sent_at: float = -inf
    confirmed_at: float = -inf
    retry_at: float = -inf
    changed: bool = True
    deleting: bool = False


@dataclass(slots=True, kw_only=True)
class RunnerState:
    """Represent the runner of one agent; orders_read is set after the first read.

    orders_read_at is the time of that in monotonic seconds. cordoned contains the
    cordoned data centres, and policy the configuration, both only in deployments whose
    agents read the operators' rows. cordons is set in deployments with cordons, and
    cordons_read once they have been read. unread_logged is set once it was logged that
    runs are started without that. health_times is None in deployments without health
    checks, and health_checks contains those of the workers.
    """

    agent_id: str
    times: LeaseTimes
    run_chart: Chart
    new_operation_id: Callable[[], str]
    workers: dict[str, LocalWorker] = field(default_factory=dict)
    reports: dict[str, ReportState] = field(default_factory=dict)
    orders: dict[str, WorkerOrders] = field(default_factory=dict)
    orders_read: bool = False
    orders_read_at: float = inf
    cordoned: frozenset[str] = frozenset()
    cordons: bool = False
    cordons_read: bool = False
    unread_logged: bool = False
    policy: FleetPolicy = field(default_factory=FleetPolicy)
    health_times: HealthTimes | None = None
    health_checks: dict[str, HealthCheck] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOrdered(Message):
    """Report that the owner has ordered the run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrdered(Message):
    """Report that the owner has ordered the run to stop."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunSeen(Message):
    """Report that the worker lists the run as active."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEndSeen(Message):
    """Report that the worker lists the run as ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunMissing(Message):
    """Report that the worker's lists don't contain the run.

    requested_at is the time of the request for the lists in monotonic seconds.
    """

    requested_at: float
