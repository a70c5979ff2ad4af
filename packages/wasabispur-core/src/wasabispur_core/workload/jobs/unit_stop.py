"""Record why a unit was told to stop, and what the stop costs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ...command import Command

if TYPE_CHECKING:
    from .unit import UnitId


class WasteCause(StrEnum):
    """Define why work was wasted.

    CORDONED: an order was withdrawn because of a cordon. BROKEN: another member of the
    gang ended. WORKER_GONE: the worker crashed or was lost. LAPSED: the lease ran out.
    LATE_ORDER: a member of a gang began late, so that the others waited or gave up.
    IDLE: freed room stood idle until the unit for which it was freed was placed.
    """

    PREEMPTED = "preempted"
    EVACUATED = "evacuated"
    STALLED = "stalled"
    CANCELLED = "cancelled"
    CORDONED = "cordoned"
    BROKEN = "broken"
    WORKER_GONE = "worker_gone"
    REFUSED = "refused"
    LATE_ORDER = "late_order"
    LAPSED = "lapsed"
    FAILED = "failed"
    IDLE = "idle"


@dataclass(frozen=True, slots=True, kw_only=True)
class WastedWork:
    """Represent wasted core-seconds.

    lost is work that was not saved, and time for which members waited for the others of
    an incomplete gang. overhead is the time from the order to the start, of the stop
    until the owner knows of the end, and of the restore.
    """

    lost: float = 0.0
    overhead: float = 0.0

    @property
    def total(self) -> float:
        """Return all wasted core-seconds."""
        return self.lost + self.overhead

    def __add__(self, other: WastedWork) -> WastedWork:
        """Return the sum of both parts."""
        return WastedWork(
            lost=self.lost + other.lost, overhead=self.overhead + other.overhead
        )


NO_WASTE = WastedWork()


@dataclass(frozen=True, slots=True, kw_only=True)
class CountWaste(Command):
    """Add wasted work to the metric; the log has it too, but rounded."""

    cause: WasteCause
    work: WastedWork


@dataclass(slots=True, kw_only=True)
class UnitStop:
    """Represent a stop that the owner has decided on.

    estimated is what it was expected to cost, in core-seconds, and wasted what it has
    cost so far. beneficiary is the unit for which the unit stops, if it is
    preempted.
    """

    cause: WasteCause
    estimated: float
    wasted: WastedWork = NO_WASTE
    beneficiary: UnitId | None = None


@dataclass(slots=True, kw_only=True)
class EvictionAccount:
    """Represent the stops for one beneficiary; costs are in core-seconds.

    freed contains the time in monotonic seconds at which each part of the room came
    free, and its size in cores.
    """

    begun_at: float
    victims: int = 0
    estimated: float = 0.0
    estimated_idle: float = 0.0
    wasted: float = 0.0
    freed: list[tuple[float, float]] = field(default_factory=list)

    def idle(self, now: float) -> float:
        """Return the core-seconds for which the freed room has stood idle."""
        return sum((now - freed_at) * cores for freed_at, cores in self.freed)
