"""Define what the planner looks at and what it decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from math import inf

from .spec import NO_RESOURCES, Resources
from .unit import UnitId, WorkerRef


class Trust(Enum):
    """Tell which units a worker gets: any, one at a time on trial, or none."""

    FULL = "full"
    TRIAL = "trial"
    NONE = "none"


@dataclass(slots=True, kw_only=True, eq=False)
class WorkerSnapshot:
    """Describe one worker's room; the planner takes from it as it places.

    returning tells of a worker that takes runs but has not reported of late. coming
    is the room of units that are told to stop already, and payload_bytes
    bounds the orders row.
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
    releasing: Resources = NO_RESOURCES
    trust: Trust = Trust.FULL
    payload_bytes: int = 0
    tasks_of_step: dict[tuple[str, int, int], int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingUnit:
    """Describe a unit that waits for room; times are in monotonic seconds.

    guaranteed is set while the unit's organisation uses no more than its guarantee.
    objective is the time by which the whole job should end, and remaining the
    estimated run time of the unit and of all steps behind it, in seconds. failed_on
    names the workers on which its runs failed; those in avoided_workers come last. A patient
    unit waits for workers of a better rack that return.
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
    ready_at: float = 0.0
    objective: float = 0.0
    target_span: float = 0.0
    remaining: float = 0.0
    avoided_workers: frozenset[str] = frozenset()
    failed_on: frozenset[str] = frozenset()
    waits_for_rack: bool = False
    attempts_left: int = 1

    @property
    def work(self) -> float:
        """Return the estimated work in core-seconds."""
        return self.size * self.demand.weight * max(self.remaining, 1.0)


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class RunningUnit:
    """Describe a unit at work; lost_work is in core-seconds if it stops now.

    ends_in is the estimated rest of its run, and leaves_in the time after which the
    first of its workers is gone, both in seconds. stalled_for is how long a run of it
    has stood still.
    """

    unit_id: UnitId
    priority: int
    organisation: str
    guaranteed: bool
    demand: Resources
    placement: tuple[WorkerRef, ...]
    lost_work: float
    stopping: bool = False
    preemptions: int = 0
    ends_in: float = 0.0
    leaves_in: float = inf
    checkpointing: bool = False
    stalled_for: float = 0.0

    @property
    def lost_time(self) -> float:
        """Return the seconds of work that are lost if the unit stops now."""
        weight = len(self.placement) * self.demand.weight
        return self.lost_work / weight if weight else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Hold all that one pass of the planner depends on."""

    now: float
    workers: tuple[WorkerSnapshot, ...]
    waiting: tuple[WaitingUnit, ...]
    running: tuple[RunningUnit, ...]


class WaitReason(StrEnum):
    """Tell why a unit was not placed."""

    NO_WORKER = "no worker fits"
    NO_ROOM = "no room"
    STOPPING = "room is being freed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Base of the planner's decisions about one unit."""

    unit_id: UnitId


@dataclass(frozen=True, slots=True, kw_only=True)
class Place(Decision):
    """Run the unit's tasks on these workers."""

    placement: tuple[WorkerRef, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Preempt(Decision):
    """Stop the unit so that another one gets its room."""

    beneficiary: UnitId
    lost_work: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuate(Decision):
    """Stop the unit, because a worker of it leaves before the unit can end."""

    leaves_in: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Move(Decision):
    """Stop the unit, because it has stood still for some seconds where it is."""

    stalled_for: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait(Decision):
    """Leave the unit waiting."""

    reason: WaitReason
