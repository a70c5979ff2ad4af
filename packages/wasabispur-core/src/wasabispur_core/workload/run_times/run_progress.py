"""Track the progress of a run at the entry instance that owns the shard.

The source is the worker's lists of its active runs, which its agent reports.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_RATE_TIME = 1.0
"""Seconds of observed progress that are needed to estimate a run's rate."""

COMPLETE_PERCENT = 100

LEAST_SAMPLE_TIME = 2.0
LEAST_SAMPLE_PERCENT = 20
"""Seconds and percentage of observed progress that tell the time of the whole task.

Lists are a second apart and contain whole percentages.
"""

LARGEST_STEP_SHARE = 0.5
"""Largest part of the observed progress that one list may add; more is a jump."""

STALL_LIMIT = 1.5
"""Seconds without progress of an idle run from which its time tells nothing."""


@dataclass(slots=True, kw_only=True)
class RunProgress:
    """Represent the completed share of a run's work and its growth over time.

    Times are in monotonic seconds. first_percent was listed at first_at, and
    advanced_at is the time at which percent last increased. idle is set if the run
    used no cpu according to the last list. largest_step is the largest growth from one
    list to the next, and decreased is set once the percentage has become less.
    has_stalled is set once the run was idle without progress for a while, and sampled
    once its progress has told the speed of its worker.
    """

    percent: int = 0
    idle: bool = False
    listed_at: float | None = None
    advanced_at: float = 0.0
    first_at: float = 0.0
    first_percent: int = 0
    largest_step: int = 0
    decreased: bool = False
    has_stalled: bool = False
    sampled: bool = False

    def update(self, percent: int, idle: bool, now: float) -> None:
        """Apply the entry of the run in a new list."""
        if self.listed_at is None:
            self.first_at = self.advanced_at = now
            self.first_percent = percent
        elif percent > self.percent:
            self.advanced_at = now
            self.largest_step = max(self.largest_step, percent - self.percent)
        elif percent < self.percent:
            self.decreased = True
        self.percent = percent
        self.idle = idle
        self.listed_at = now
        self.has_stalled |= idle and self.stalled_for >= STALL_LIMIT

    def remaining(self, now: float) -> float | None:
        """Return the remaining seconds at the observed rate, if one is known."""
        done = self.observed_percent
        if self.worked < MIN_RATE_TIME or done <= 0:
            return None
        remaining = (COMPLETE_PERCENT - self.percent) * self.worked / done
        return max(remaining - (now - self.advanced_at), 0.0)

    @property
    def worked(self) -> float:
        """Return the seconds over which progress was observed."""
        return self.advanced_at - self.first_at

    @property
    def observed_percent(self) -> int:
        """Return the percentage by which the run progressed since its first list."""
        return self.percent - self.first_percent

    @property
    def whole_time(self) -> float | None:
        """Return the seconds that the whole task takes at a steady observed rate.

        Returns None if too little is known, or if the percentages are not plausible.
        """
        done = self.observed_percent
        if done < LEAST_SAMPLE_PERCENT or self.worked < LEAST_SAMPLE_TIME:
            return None
        if self.decreased or self.largest_step > LARGEST_STEP_SHARE * done:
            return None
        return COMPLETE_PERCENT * self.worked / done

    @property
    def stalled_for(self) -> float:
        """Return the seconds without progress until the last list, if idle."""
        if not self.idle or self.listed_at is None or self.percent >= COMPLETE_PERCENT:
            return 0.0
        return self.listed_at - self.advanced_at
