"""Track the progress of a run at the entry instance that owns the shard.

The source is the worker's lists of its active runs, which its agent reports.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_RATE_TIME = 1.0
"""Seconds of observed progress that are needed to estimate a run's rate."""

COMPLETE_PERCENT = 100


@dataclass(slots=True, kw_only=True)
class RunProgress:
    """Represent the completed share of a run's work and its growth over time.

    Times are in monotonic seconds. first_percent was listed at first_at, and
    advanced_at is the time at which percent last increased. idle is set if the run
    used no cpu according to the last list.
    """

    percent: int = 0
    idle: bool = False
    listed_at: float | None = None
    advanced_at: float = 0.0
    first_at: float = 0.0
    first_percent: int = 0

    def update(self, percent: int, idle: bool, now: float) -> None:
        """Apply the entry of the run in a new list."""
        if self.listed_at is None:
            self.first_at = self.advanced_at = now
            self.first_percent = percent
        elif percent > self.percent:
            self.advanced_at = now
        self.percent = percent
        self.idle = idle
        self.listed_at = now

    def remaining(self, now: float) -> float | None:
        """Return the remaining seconds at the observed rate, if one is known."""
        worked = self.advanced_at - self.first_at
        done = self.percent - self.first_percent
        if worked < MIN_RATE_TIME or done <= 0:
            return None
        remaining = (COMPLETE_PERCENT - self.percent) * worked / done
        return max(remaining - (now - self.advanced_at), 0.0)

    @property
    def stalled_for(self) -> float:
        """Return the seconds without progress until the last list, if idle."""
        if not self.idle or self.listed_at is None or self.percent >= COMPLETE_PERCENT:
            return 0.0
        return self.listed_at - self.advanced_at
