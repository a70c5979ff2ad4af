"""Prefer workers on which a waiting unit is expected to end by its objective.

The load is that of fleets in which some workers take longer for the same task. An
urgent gang ends with its slowest member, and its objective leaves room for little more
than its run time; other units have the time to run on slow workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .plan import WaitingUnit, WorkerSnapshot

SAFETY_SHARE = 0.35
"""Part of its run time by which a unit is to end before its objective.

Tasks of one step differ by up to 30%, and the order and the report take time.
"""

FACTOR_STEP = 0.2
"""Difference of factors that matters to a choice; learned ones are off by half."""


@dataclass(frozen=True, slots=True)
class SpeedPreference:
    """Describe which workers a unit prefers for their speed.

    limit is the largest factor on its run time with which it ends by its objective.
    """

    limit: float

    def rank(self, worker: WorkerSnapshot) -> float:
        """Return the sort key of a worker.

        The slowest of those that are fast enough come first, so that the others stay
        free for units that need them, and then the fastest of the rest.
        """
        factor = worker.run_time_factor
        step = round(factor / FACTOR_STEP)
        return step if factor > self.limit else -step

    def rank_of_all(self, workers: Iterable[WorkerSnapshot]) -> float:
        """Return the sort key of a placement, whose slowest worker decides its end."""
        slowest = max(one.run_time_factor for one in workers)
        return round(slowest / FACTOR_STEP) if slowest > self.limit else 0.0


def speed_preference(unit: WaitingUnit, now: float) -> SpeedPreference | None:
    """Return which speed a unit prefers, or None if it has no end of its own."""
    if unit.long_running or unit.run_time <= 0.0:
        return None
    later_steps = unit.remaining - unit.run_time
    left = unit.objective - now - later_steps
    return SpeedPreference(limit=left / unit.run_time - SAFETY_SHARE)
