"""Follow how far a run has got, as its worker's lists tell."""

from __future__ import annotations

from dataclasses import dataclass

MIN_RATE_TIME = 1.0
"""Seconds of observed work from which a run's rate is taken."""

COMPLETE_PERCENT = 100


@dataclass(slots=True, kw_only=True)
class RunProgress:
    """Hold the share of a run's work that is done; times are monotonic seconds.

    first_percent was listed at first_at, advanced_at is when the share last grew, and
    idle tells that the run used no cpu when it was last listed.
    """

    percent: int = 0
    idle: bool = False
    listed_at: float | None = None
    advanced_at: float = 0.0
    first_at: float = 0.0
    first_percent: int = 0

    def update(self, percent: int, idle: bool, now: float) -> None:
        """Take what a list of runs tells."""
        if self.listed_at is None:
            self.first_at = self.advanced_at = now
            self.first_percent = percent
        elif percent > self.percent:
            self.advanced_at = now
        self.percent = percent
        self.idle = idle
        self.listed_at = now

    def remaining(self, now: float) -> float | None:
        """Return the seconds that the rest takes at the observed rate, if known."""
        worked = self.advanced_at - self.first_at
        done = self.percent - self.first_percent
        if worked < MIN_RATE_TIME or done <= 0:
            return None
        remaining = (COMPLETE_PERCENT - self.percent) * worked / done
        return max(remaining - (now - self.advanced_at), 0.0)

    @property
    def stalled_for(self) -> float:
        """Return the seconds for which the lists have shown no work at all."""
        if not self.idle or self.listed_at is None or self.percent >= COMPLETE_PERCENT:
            return 0.0
        return self.listed_at - self.advanced_at
