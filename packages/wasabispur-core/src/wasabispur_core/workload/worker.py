"""Define what agents report about workers, and what owners order there."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ..message import Message
from .spec import NO_RESOURCES, Resources


class WorkerState(StrEnum):
    """Tell whether a worker takes new runs."""

    READY = "ready"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    GONE = "gone"


class EndKind(StrEnum):
    """Tell how a run ended at its worker.

    BROKEN: another member of its gang ended; ALONE: the gang was not complete in
    time; REFUSED: the worker or its agent did not start it; LOST: the worker has
    another incarnation, or nobody has heard of it for the lease horizon.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedRun:
    """Describe one run that a worker holds.

    percent is the share of its work that is done, and idle tells that it used no cpu
    of late. A run of a step that lasts is at work at 100 percent.
    """

    task: str
    run: int
    checkpoint: str = ""
    percent: int = 100
    idle: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """Describe one run that ended; number counts ends in this incarnation."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedRun:
    """Describe an order that was not carried out and never will be."""

    task: str
    run: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerInfo:
    """Describe a worker as it announces itself; remaining is in seconds.

    An incarnation is the number of the worker's start: more digits, or a larger
    number, is later. Two workers of one agent at one address follow each other.
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
    sequence: int = 0

    @property
    def rack(self) -> str:
        """Return the label that names the rack, or an empty string."""
        return next((label for label in self.labels if is_rack_label(label)), "")


def incarnation_sort_key(incarnation: str) -> tuple[int, str]:
    """Return a key that orders incarnations by their start."""
    return len(incarnation), incarnation


def is_rack_label(label: str) -> bool:
    """Return whether a label names a rack, such as r1-3."""
    head, _, tail = label.partition("-")
    return head[:1] == "r" and head[1:].isdigit() and tail.isdigit()


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """Hold all that an agent knows of one worker.

    listing counts the lists that the worker gave; a repeated one tells nothing new.
    """

    agent_id: str
    number: int
    info: WorkerInfo
    listing: int = 0
    runs: tuple[ListedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    refused: tuple[RefusedRun, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOrder:
    """Ask for a run, or where stop is set for its end; job names the payload."""

    task: str
    run: int
    job_id: str
    checkpoint: str = ""
    stop: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerOrders:
    """Hold all that the owner wants of one incarnation of a worker."""

    worker_id: str
    incarnation: str
    epoch: int
    acknowledged: int = 0
    runs: tuple[RunOrder, ...] = ()
    payloads: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportArrived(Message):
    """Deliver an agent's report."""

    report: WorkerReport


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersArrived(Message):
    """Deliver the owner's orders for one worker."""

    orders: WorkerOrders
