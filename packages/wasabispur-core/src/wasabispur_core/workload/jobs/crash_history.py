"""Count the workers that crashed under the tasks of a unit.

The shard's owner gives up a unit whose task crashes each worker that starts it, and
places a suspected one where a further crash harms the least other work.
"""

from __future__ import annotations

from dataclasses import dataclass, field

CRASH_LIMIT = 3
"""Number of workers that may crash under one task before its unit is given up."""

UNCERTAIN_CRASH_LIMIT = 5
"""The same if it is not known of any of the runs whether it had begun.

A start whose answer is missing may have crashed its worker, or be carried out late.
"""

DANGEROUS_CRASHES = 2
"""Number of crashes under one task after which its unit should run alone."""

CRASH_BACK_OFF = 0.5
"""Seconds before a unit is placed again on a worker that crashed under it.

The time doubles with each crash. Other workers are used at once.
"""

CLEARANCE_TIME = 30.0
CLEARANCE_FACTOR = 2.0
"""Bounds of the run time that clears a unit, in seconds and in crashed run times.

Over hours, a long task is hit by crashes that have nothing to do with it.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashHistory:
    """Describe the crashes under one unit.

    workers maps the position of a task to the number of workers that crashed under it,
    and uncertain to how many of them may not have begun it. longest_run is the longest
    time that such a run took, in seconds.
    """

    workers: dict[int, int] = field(default_factory=dict)
    uncertain: dict[int, int] = field(default_factory=dict)
    longest_run: float = 0.0

    @property
    def most(self) -> int:
        """Return the largest number of workers that crashed under one task."""
        return max(self.workers.values(), default=0)

    @property
    def back_off(self) -> float:
        """Return the seconds for which the unit stays away from a crashed worker.

        Crashes of which it is not known whether a task of the unit caused them don't
        delay it.
        """
        certain = max(
            (n - self.uncertain.get(key, 0) for key, n in self.workers.items()),
            default=0,
        )
        return CRASH_BACK_OFF * 2 ** (certain - 1) if certain else 0.0

    @property
    def dangerous(self) -> bool:
        """Return whether the unit should run alone on its workers."""
        return self.most >= DANGEROUS_CRASHES

    @property
    def limit_reached(self) -> bool:
        """Return whether the unit is given up."""
        return any(self._share_of_limit(position) >= 1.0 for position in self.workers)

    def _share_of_limit(self, position: int) -> float:
        uncertain = self.uncertain.get(position, 0)
        certain = self.workers[position] - uncertain
        return certain / CRASH_LIMIT + uncertain / UNCERTAIN_CRASH_LIMIT

    def after_run(self, run_time: float) -> CrashHistory:
        """Return the history after a run that did not end with a crash.

        A run that outlasts the crashed ones by far shows that the crashes had another
        cause.
        """
        clearance = max(CLEARANCE_TIME, CLEARANCE_FACTOR * self.longest_run)
        return NO_CRASHES if run_time > clearance else self

    def after_crash(
        self, position: int, run_time: float, uncertain: bool = False
    ) -> CrashHistory:
        """Return the history after a worker crashed under a run of a task.

        uncertain is set if the run may not have begun.
        """
        known = self.after_run(run_time)
        workers = known.workers | {position: known.workers.get(position, 0) + 1}
        possible = known.uncertain
        if uncertain:
            possible = possible | {position: possible.get(position, 0) + 1}
        return CrashHistory(
            workers=workers,
            uncertain=possible,
            longest_run=round(max(known.longest_run, run_time), 2),
        )

    def of_positions(self, positions: range) -> CrashHistory:
        """Return the part of the history that concerns some positions."""
        return CrashHistory(
            workers={key: n for key, n in self.workers.items() if key in positions},
            uncertain={key: n for key, n in self.uncertain.items() if key in positions},
            longest_run=self.longest_run,
        )

    def combined(self, other: CrashHistory) -> CrashHistory:
        """Return the history of this and of other tasks of the same unit."""
        if not other.workers:
            return self
        return CrashHistory(
            workers=self.workers | other.workers,
            uncertain=self.uncertain | other.uncertain,
            longest_run=max(self.longest_run, other.longest_run),
        )


NO_CRASHES = CrashHistory()
