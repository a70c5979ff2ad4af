"""Define the input and the decisions of the planner.

The planner runs at the entry instance that owns the shard. In each pass it decides
which units, that is gangs or single tasks, run on which workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from math import inf

from ..jobs.spec import NO_RESOURCES, Resources, used_share
from ..jobs.step_graph import DEFAULT_ESTIMATE
from ..jobs.unit import UnitId, WorkerRef
from ..run_times.run_time_fit import Forecast
from .organisation_share import Level, OrganisationUse

DEFAULT_REMOTE_FACTOR = 2.0
"""Factor on run times away from the preferred rack, if the settings don't tell it."""


class Trust(Enum):
    """Define which units a worker gets: any, one at a time as a trial, or none.

    A doubtful worker gets one single task at a time as a trial, and an avoided one not
    even that; both get units that have waited in vain for other workers. A suspected
    worker, with no trust, gets one of these if its job runs nothing in a quiet service.
    """

    FULL = "full"
    TRIAL = "trial"
    DOUBTFUL = "doubtful"
    AVOIDED = "avoided"
    NONE = "none"


ON_TRIAL = frozenset((Trust.TRIAL, Trust.DOUBTFUL, Trust.NONE))
"""Trust with which a worker gets one unit at a time, if any."""

IN_DOUBT = frozenset((Trust.DOUBTFUL, Trust.AVOIDED))
"""Trust in workers whose health is in doubt."""


@dataclass(slots=True, kw_only=True, eq=False)
class WorkerSnapshot:
    """Describe one worker and its free resources.

    The planner works on copies that it updates while it places units. awaiting_report
    is set for a worker that accepts runs but whose last report is too old, and cordoned
    for one whose data centre is cordoned, which is not ready. A cold worker has just
    started and is slow until cold_until, in monotonic seconds. releasing is the amount
    of resources held by units that are being stopped. orders_bytes is the size of the
    worker's orders row, and tasks_of_step counts its tasks by job, occurrence and step.
    suspects counts its units under which a worker has crashed, and closed is set while
    a dangerous one has begun there. run_time_factor is how many times as long runs
    take there as on a typical worker, as far as it is known.
    """

    worker_ref: WorkerRef
    service: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    free: Resources
    ready: bool
    awaiting_report: bool = False
    cordoned: bool = False
    cold: bool = False
    cold_until: float = -inf
    releasing: Resources = NO_RESOURCES
    trust: Trust = Trust.FULL
    orders_bytes: int = 0
    tasks_of_step: dict[tuple[str, int, int], int] = field(default_factory=dict)
    suspects: int = 0
    closed: bool = False
    run_time_factor: float = 1.0


def used_share_of(workers: Iterable[WorkerSnapshot]) -> float:
    """Return the used share of the workers' resource of which most is used."""
    free = capacity = NO_RESOURCES
    for worker in workers:
        free += worker.free
        capacity += worker.capacity
    return used_share(free, capacity)


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingUnit:
    """Describe a unit that waits for placement; times are in monotonic seconds.

    size is the number of its tasks, and demand is per task. guaranteed is set if the
    organisation's guarantee covers the job. objective is the time by which the whole
    job should end, target_span the time from its start to that objective, and remaining
    the estimated run time of the unit and of the longest chain of steps that depend on
    it, both in seconds. run_time is the estimated run time of the unit alone in
    seconds, on workers that it prefers; a long_running unit has no end of its own.
    data_rack and same_rack are preferences: in other racks, or over several, the unit
    takes several times as long. payload_bytes and order_bytes are the sizes of the
    job's payload and of a run's order in an orders row. failed_on contains the workers
    on which its runs failed, and refused_by those that refused several in succession.
    last_crash_on is the last worker that crashed under it, and the workers in excluded
    don't host it now. The workers in avoided_workers are used last. With
    waits_for_rack, the unit waits for workers of a better rack that are expected to
    report. With accepts_trial, the unit may run on a worker on trial that has other
    units, and make its last attempt there. With accepts_doubt, it may run on workers
    whose health is in doubt, and with accepts_suspicion on suspected workers that run
    nothing. suspected is set if a worker has crashed under the unit, and dangerous if
    several have. An isolated unit may only run on workers that run nothing else.
    relaxed is set if a preference for a rack has been dropped. displaces is set if the
    unit may preempt less urgent units whatever its priority, as they fit elsewhere,
    and over_share if the share of its organisation limits which ones.
    """

    unit_id: UnitId
    service: str
    organisation: str
    priority: int
    guaranteed: bool
    demand: Resources
    size: int
    label: str = ""
    data_rack: str = ""
    same_rack: bool = False
    tasks_per_worker: int = 0
    payload_bytes: int = 0
    order_bytes: int = 0
    ready_at: float = 0.0
    objective: float = 0.0
    target_span: float = 0.0
    remaining: float = 0.0
    run_time: float = DEFAULT_ESTIMATE
    long_running: bool = False
    avoided_workers: frozenset[str] = frozenset()
    failed_on: frozenset[str] = frozenset()
    last_crash_on: str = ""
    excluded: frozenset[str] = frozenset()
    refused_by: frozenset[str] = frozenset()
    waits_for_rack: bool = False
    attempts_left: int = 1
    accepts_trial: bool = False
    accepts_suspicion: bool = False
    accepts_doubt: bool = False
    suspected: bool = False
    dangerous: bool = False
    isolated: bool = False
    relaxed: bool = False
    displaces: bool = False
    over_share: bool = False

    @property
    def level(self) -> Level:
        """Return the level at which the unit competes by share."""
        return Level(self.service, self.priority)

    @property
    def work(self) -> float:
        """Return the estimated work in core-seconds."""
        return self.size * self.demand.weight * max(self.remaining, 1.0)


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class RunningUnit:
    """Describe a unit that occupies workers.

    lost_work is the work in core-seconds that is lost if the unit stops at measured_at,
    which is in monotonic seconds, and loss_rate its growth in core-seconds per second.
    stopping is set if the unit has been told to stop, which was at stopping_since.
    ends_in is the estimated remaining time of its run, run_time the estimate of its
    whole run, which is infinite if it has no end of its own, leaves_in the time after
    which the first of its workers leaves, and stalled_for the longest time for which
    one of its runs has made no progress, all in seconds. run_time_spread is the
    standard deviation of the logarithm of run_time, or zero if only a caller's estimate
    is known. observed_end is the time at which its runs end at their observed rates, if
    that is another one than expected, otherwise infinite.
    """

    unit_id: UnitId
    priority: int
    organisation: str
    guaranteed: bool
    demand: Resources
    placement: tuple[WorkerRef, ...]
    lost_work: float
    loss_rate: float = 0.0
    measured_at: float = 0.0
    stopping: bool = False
    stopping_since: float = 0.0
    preemptions: int = 0
    ends_in: float = 0.0
    run_time: float = DEFAULT_ESTIMATE
    run_time_spread: float = 0.0
    observed_end: float = inf
    leaves_in: float = inf
    checkpointing: bool = False
    stalled_for: float = 0.0
    service: str = ""

    @property
    def level(self) -> Level:
        """Return the level at which the unit competes by share."""
        return Level(self.service, self.priority)

    @property
    def occupied(self) -> Resources:
        """Return what the unit occupies on all its workers."""
        return self.demand.times(len(self.placement))

    def lost_work_at(self, now: float) -> float:
        """Return the work in core-seconds that is lost if the unit stops now."""
        return self.lost_work + self.loss_rate * (now - self.measured_at)

    def remaining_at(self, now: float) -> float:
        """Return the seconds until the run ends by its rate, or by its estimate."""
        if now < self.observed_end < inf:
            return self.observed_end - now
        forecast = Forecast(self.run_time, self.run_time_spread)
        return forecast.remaining_median(now - self.measured_at)

    def lost_time(self, now: float) -> float:
        """Return the seconds of run time that are lost if the unit stops now."""
        weight = len(self.placement) * self.demand.weight
        return self.lost_work_at(now) / weight if weight else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Describe the complete input of one planning pass; now is in monotonic seconds.

    changed contains the ids of the workers that differ from the last snapshot. It is
    None if results of earlier passes don't hold, because a worker was added or removed
    or may now host other units than before. settling is set if some workers have yet to
    report after a takeover or an outage. remote_factor is how many times as long a task
    takes away from the rack that it prefers. use is what organisations occupy, or None
    if their shares don't matter.
    """

    now: float
    workers: tuple[WorkerSnapshot, ...]
    waiting: tuple[WaitingUnit, ...]
    running: tuple[RunningUnit, ...]
    changed: frozenset[str] | None = None
    settling: bool = False
    remote_factor: float = DEFAULT_REMOTE_FACTOR
    use: OrganisationUse | None = None


class WaitReason(StrEnum):
    """Define why a unit was not placed."""

    NO_WORKER = "no worker fits"
    CORDON = "no room outside cordoned data centres"
    NO_ROOM = "no room"
    RACK = "no room in its rack yet"
    SUSPICION = "no room on unsuspected workers yet"
    COLD = "no room on warm workers yet"
    STOPPING = "room is being freed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Define the base of the planner's decisions on one unit."""

    unit_id: UnitId


@dataclass(frozen=True, slots=True, kw_only=True)
class Place(Decision):
    """Run the unit's tasks on the given workers, one for each task."""

    placement: tuple[WorkerRef, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Preempt(Decision):
    """Stop the unit to free its resources for the beneficiary."""

    beneficiary: UnitId
    lost_work: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuate(Decision):
    """Stop the unit, because one of its workers leaves before the unit can end."""

    leaves_in: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Move(Decision):
    """Stop the unit, because it has made no progress for stalled_for seconds."""

    stalled_for: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait(Decision):
    """Keep the unit and the identical ones after it waiting, for the given reason.

    loss_limit is the work in core-seconds that an eviction for the unit may lose, and
    least_cost a lower bound on the cost of making room, known for urgent units that
    begin to wait. hosts is the number of workers that were considered, and ahead the
    number of decisions to wait that precede this one in the order of placement. shares
    contains the share of the unit's organisation and its fair share if units of others
    precede the unit because of them.
    """

    reason: WaitReason
    loss_limit: float = 0.0
    least_cost: float | None = None
    hosts: int = 0
    ahead: int = 0
    shares: tuple[float, float] | None = None
