"""Hold what an agent knows of the workers beside it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from ..chart import Chart, Lifecycle
from ..message import Message
from .worker import EndedRun, ListedRun, RunOrder, WorkerInfo, WorkerOrders, WorkerState


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Hold the durations of leases in seconds.

    max_duration is the max_duration lease that a worker grants. While the store does not
    confirm the agent's reports, leases end horizon seconds after the last report
    that it confirmed was sent.
    """

    max_duration: float
    horizon: float


@dataclass(slots=True, kw_only=True)
class OrderedRun:
    """Hold one run that the owner ordered; refusal_reason tells why it never started.

    stop_accepted_at is when the worker acknowledged a stop, in monotonic seconds.
    unconfirmed is set until the worker's lists tell whether it has the run already,
    and abandoned once the worker can't have it any more.
    """

    order: RunOrder
    payload: str
    lifecycle: Lifecycle
    unconfirmed: bool = False
    abandoned: bool = False
    refusal_reason: str = ""
    stop_accepted_at: float = inf
    retries: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return the task and the run's number."""
        return self.order.task, self.order.run


@dataclass(slots=True, kw_only=True)
class LocalWorker:
    """Hold one incarnation of a worker; times are the agent's monotonic seconds.

    clock_offset is the worker's clock less the agent's. lease_until bounds the time
    to which the worker may go on without hearing from the agent.
    """

    info: WorkerInfo
    clock_offset: float | None = None
    list_requested_at: float = -inf
    announced_at: float = -inf
    lease_until: float = -inf
    reachable: bool = True
    runs: tuple[ListedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    orders: WorkerOrders | None = None
    ordered: dict[tuple[str, int], OrderedRun] = field(default_factory=dict)
    list_in_flight: bool = False
    list_count: int = 0
    list_failed_at: float = -inf
    refused_connections: int = 0
    departed: bool = False

    @property
    def epoch(self) -> int:
        """Return the epoch of the last orders."""
        return self.orders.epoch if self.orders else 0

    @property
    def state(self) -> WorkerState:
        """Return the worker's state as it is reported."""
        if self.departed:
            return WorkerState.GONE
        return self.info.state if self.reachable else WorkerState.UNREACHABLE


@dataclass(slots=True, kw_only=True)
class ReportState:
    """Hold what is written about one worker id; times are monotonic seconds.

    version is None until the row has been read, and nothing is tried before retry_at.
    confirmed_at is when the last
    report that the store acknowledged was sent.
    """

    version: int | None = None
    number: int = 0
    reading: bool = False
    in_flight: str = ""
    sent_at: float = -inf
    confirmed_at: float = -inf
    retry_at: float = -inf
    changed: bool = True
    removed: bool = False


@dataclass(slots=True, kw_only=True)
class RunnerState:
    """Own the workers beside one agent."""

    agent_id: str
    times: LeaseTimes
    run_chart: Chart
    new_operation_id: Callable[[], str]
    workers: dict[str, LocalWorker] = field(default_factory=dict)
    reports: dict[str, ReportState] = field(default_factory=dict)
    orders: dict[str, WorkerOrders] = field(default_factory=dict)
    orders_read: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOrdered(Message):
    """Tell a run that the owner wants it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrdered(Message):
    """Tell a run that the owner wants its end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunSeen(Message):
    """Tell a run that the worker lists it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEndSeen(Message):
    """Tell a run that the worker lists its end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunMissing(Message):
    """Tell a run that the worker lists it no more; requested_at is monotonic seconds."""

    requested_at: float
