"""Define workers that are sick for a time, for experiments with the shard's owner.

The faults are played on simulated time. A worker acts up while it is sick, but for one
that flaps, which does so in every second turn.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from wasabispur_core.workload.workers.worker import EndKind, HealthAnswer

SICK_FROM = 10.0
WELL_AT = 50.0
"""Seconds of an experiment between which the chosen workers are sick."""

TURN_TIMES = (1.4, 1.7)
"""Shortest and longest seconds of a turn of a worker that flaps."""

FAILURE_TIME = 0.2
"""Seconds after which a worker that acts up fails a run or refuses a start."""


class SickKind(StrEnum):
    """Define what a sick worker does while it acts up.

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


FLAPPING = frozenset((SickKind.FLAP, SickKind.RESTART))
HANGING = frozenset((SickKind.HANG, SickKind.HIDDEN_HANG))
HIDDEN = frozenset((SickKind.HIDDEN_ERROR, SickKind.HIDDEN_HANG, SickKind.HIDDEN_RESET))
REFUSING = frozenset((SickKind.RESET, SickKind.HIDDEN_RESET))


@dataclass(frozen=True, slots=True)
class SickPlan:
    """Describe the sick workers of one load; without a kind there are none.

    With health_checks, the workers' agents report the answers to them.
    """

    kind: SickKind | None = None
    count: int = 0
    health_checks: bool = False


@dataclass(slots=True)
class SickResult:
    """Count what sick workers cost.

    failed counts the units that failed on them, were refused by them or were moved from
    them, and broken those that were gangs. lost_work is the unsaved work of these units
    in core-seconds. sick_seconds sums up how long workers were sick.
    """

    failed: int = 0
    broken: int = 0
    lost_work: float = 0.0
    sick_seconds: float = 0.0

    def per_minute(self, number: float) -> float:
        """Return a number per sick worker and minute."""
        return 60 * number / self.sick_seconds if self.sick_seconds else 0.0

    def add(self, other: SickResult) -> None:
        """Add the result of another load."""
        self.failed += other.failed
        self.broken += other.broken
        self.lost_work += other.lost_work
        self.sick_seconds += other.sick_seconds


class SickWorkers:
    """Represent the sick workers of one load, with the turns of those that flap.

    acting contains the workers that act up now. Times are in seconds.
    """

    def __init__(
        self, plan: SickPlan, worker_ids: Sequence[str], random: Random
    ) -> None:
        self.kind = plan.kind
        count = plan.count if plan.kind is not None else 0
        self.ids = frozenset(random.sample(worker_ids, min(count, len(worker_ids))))
        self.random = random
        self.acting: set[str] = set()

    def turns(self) -> list[tuple[float, str, bool]]:
        """Return when which worker begins or ceases to act up."""
        found: list[tuple[float, str, bool]] = []
        for worker_id in sorted(self.ids):
            at, acts_up = SICK_FROM + self.random.uniform(0, 1), True
            while at < WELL_AT:
                found.append((at, worker_id, acts_up))
                if self.kind not in FLAPPING:
                    break
                at += self.random.uniform(*TURN_TIMES)
                acts_up = not acts_up
            found.append((WELL_AT, worker_id, False))
        return found

    def answer(self, worker_id: str) -> HealthAnswer:
        """Return what a worker answers to a health check now."""
        if worker_id not in self.acting or self.kind in HIDDEN:
            return HealthAnswer.HEALTHY
        if self.kind in REFUSING or self.kind is SickKind.HANG:
            return HealthAnswer.UNANSWERED
        return HealthAnswer.UNHEALTHY

    @property
    def end_kind(self) -> EndKind:
        """Return how the runs end on a worker that acts up."""
        if self.kind in REFUSING:
            return EndKind.REFUSED
        return EndKind.CRASHED if self.kind is SickKind.RESTART else EndKind.FAILED
