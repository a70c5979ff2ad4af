"""Record why a unit was told to stop, and what the stop costs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .unit import UnitId


class WasteCause(StrEnum):
    """Define why work was wasted.

    CORDONED: an order was withdrawn because of a cordon. BROKEN: another member of the
    gang ended. WORKER_GONE: the worker crashed or was lost. LAPSED: the lease ran out.
    LATE_ORDER: a member of a gang began too late, so that the others gave up. IDLE:
    freed room stood idle until the unit for which it was freed was placed.
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


@dataclass(slots=True, kw_only=True)
class UnitStop:
    """Represent a stop that the owner has decided on.

    estimated is what it was expected to cost and wasted what it has cost so far, both
    in core-seconds. beneficiary is the unit for which the unit stops, if it is
    preempted.
    """

    cause: WasteCause
    estimated: float
    wasted: float = 0.0
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
