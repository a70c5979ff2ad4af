"""Define workers that are faulty for a time, for experiments with the shard's owner.

The faults take place on simulated time. The fault of a worker that flaps is active in
every second turn, any other fault all the time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from wasabispur_core.workload.workers.worker import EndKind, HealthAnswer

FAULTY_FROM = 10.0
FAULTY_UNTIL = 50.0
"""Seconds of an experiment between which the chosen workers are faulty."""

TURN_TIMES = (1.4, 1.7)
"""Shortest and longest seconds of a turn of a worker that flaps."""

FAILURE_TIME = 0.2
"""Seconds after which a worker with an active fault fails a run or refuses a start."""


class FaultKind(StrEnum):
    """Define what a faulty worker does while its fault is active.

    FLAP: fail all runs, in every second turn. RESTART: end its process, in every second
    turn. ERROR: fail all runs. HANG: make no progress, and answer no check. RESET:
    refuse all starts, and answer no check.
    HIDDEN_ERROR, HIDDEN_HANG and HIDDEN_RESET: the same, with healthy answers.
    FALSE_ALARM: run everything, with unhealthy answers.
    """

    FLAP = "flap"
    RESTART = "restart"
    ERROR = "error"
    HANG = "hang"
    RESET = "reset"
    HIDDEN_ERROR = "hidden-error"
    HIDDEN_HANG = "hidden-hang"
    HIDDEN_RESET = "hidden-reset"
    FALSE_ALARM = "false-alarm"


FLAPPING = frozenset((FaultKind.FLAP, FaultKind.RESTART))
HANGING = frozenset((FaultKind.HANG, FaultKind.HIDDEN_HANG))
HIDDEN = frozenset(
    (FaultKind.HIDDEN_ERROR, FaultKind.HIDDEN_HANG, FaultKind.HIDDEN_RESET)
)
REFUSING = frozenset((FaultKind.RESET, FaultKind.HIDDEN_RESET))


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Describe the faulty workers of one load; without a kind there are none.

    With health_checks, the workers' agents report the answers to them.
    """

    kind: FaultKind | None = None
    count: int = 0
    health_checks: bool = False


@dataclass(slots=True)
class FaultCost:
    """Count what faulty workers cost.

    failed counts the units that failed on them, were refused by them or were moved from
    them, and broken those that were gangs. lost_work is the unsaved work of these units
    in core-seconds. faulty_seconds sums up how long workers were faulty.
    """

    failed: int = 0
    broken: int = 0
    lost_work: float = 0.0
    faulty_seconds: float = 0.0

    def per_minute(self, number: float) -> float:
        """Return a number per faulty worker and minute."""
        return 60 * number / self.faulty_seconds if self.faulty_seconds else 0.0

    def add(self, other: FaultCost) -> None:
        """Add the result of another load."""
        self.failed += other.failed
        self.broken += other.broken
        self.lost_work += other.lost_work
        self.faulty_seconds += other.faulty_seconds


class FaultyWorkers:
    """Represent the faulty workers of one load, with the turns of those that flap.

    affected contains the workers whose faults are active now. Times are in seconds.
    """

    def __init__(
        self, plan: FaultPlan, worker_ids: Sequence[str], random: Random
    ) -> None:
        self.kind = plan.kind
        count = plan.count if plan.kind is not None else 0
        self.ids = frozenset(random.sample(worker_ids, min(count, len(worker_ids))))
        self.random = random
        self.affected: set[str] = set()

    def turns(self) -> list[tuple[float, str, bool]]:
        """Return when the fault of which worker begins or ends."""
        found: list[tuple[float, str, bool]] = []
        for worker_id in sorted(self.ids):
            at, active = FAULTY_FROM + self.random.uniform(0, 1), True
            while at < FAULTY_UNTIL:
                found.append((at, worker_id, active))
                if self.kind not in FLAPPING:
                    break
                at += self.random.uniform(*TURN_TIMES)
                active = not active
            found.append((FAULTY_UNTIL, worker_id, False))
        return found

    def answer(self, worker_id: str) -> HealthAnswer:
        """Return what a worker answers to a health check now."""
        if worker_id not in self.affected or self.kind in HIDDEN:
            return HealthAnswer.HEALTHY
        if self.kind in REFUSING or self.kind is FaultKind.HANG:
            return HealthAnswer.UNANSWERED
        return HealthAnswer.UNHEALTHY

    @property
    def end_kind(self) -> EndKind:
        """Return how the runs end on a worker with an active fault."""
        if self.kind in REFUSING:
            return EndKind.REFUSED
        return EndKind.CRASHED if self.kind is FaultKind.RESTART else EndKind.FAILED
