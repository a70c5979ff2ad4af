"""Define the owner's state of one worker, as its agent reports it."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ..jobs.unit import UnitId
from .worker import EndKind, ListedRun, WorkerInfo, WorkerOrders, WorkerReport
from .worker_health import WorkerHealth


@dataclass(slots=True, kw_only=True)
class Worker:
    """Represent one worker as last reported; times are in monotonic seconds.

    report_version is the version of the row with its last report, and session the
    agent's session in it. confirmed is set once a report has arrived since this entry
    became the owner. unknown_runs are listed runs that the owner did not order,
    written_orders the orders row as last written, and acknowledged the number of the
    last ended run that has been applied. failed_units contains the units whose runs
    failed there since the last success. The worker gets no units before
    suspected_until; health contains what health checks and runs show about it. leaving
    is set once it has announced that it leaves. ignored_incarnation is the former
    incarnation on which a report was ignored last. unlisted_since contains, by task and
    number, the runs there with an unknown end, and the time since which the worker's
    lists lack them. begun_runs contains the runs, also of former incarnations, which
    the last report lists as crashed and begun. cordoned is set if the agent shows a
    cordon. Until cold_until the worker is slow after its start. last_start_at is the
    time of the last order of a run.
    """

    agent_id: str
    info: WorkerInfo
    report_version: int = 0
    session: str = ""
    seen_at: float = 0.0
    confirmed: bool = False
    listing: int = 0
    runs: tuple[ListedRun, ...] = ()
    unknown_runs: tuple[ListedRun, ...] = ()
    acknowledged: int = 0
    written_orders: WorkerOrders | None = None
    failed_units: set[UnitId] = field(default_factory=set)
    suspected_until: float = 0.0
    health: WorkerHealth = field(default_factory=WorkerHealth)
    leaving: bool = False
    ignored_incarnation: str = ""
    cordoned: bool = False
    cold_until: float = -inf
    begun_runs: frozenset[tuple[str, int]] = frozenset()
    last_start_at: float = -inf
    unlisted_since: dict[tuple[str, int], float] = field(default_factory=dict)

    @property
    def worker_id(self) -> str:
        """Return the id of the worker."""
        return self.info.worker_id

    @property
    def identity(self) -> tuple[str, str]:
        """Return the worker's id and the incarnation that was reported last."""
        return self.info.worker_id, self.info.incarnation

    @property
    def end_of_process(self) -> EndKind:
        """Return how runs end if the worker's process ends now."""
        return EndKind.LOST if self.leaving else EndKind.CRASHED

    @property
    def location(self) -> tuple[str, str]:
        """Return the agent and the address, at which one worker runs at a time."""
        return self.agent_id, self.info.address


def new_worker(report: WorkerReport) -> Worker:
    """Return the state of a worker from its first report."""
    return Worker(agent_id=report.agent_id, info=report.info)
