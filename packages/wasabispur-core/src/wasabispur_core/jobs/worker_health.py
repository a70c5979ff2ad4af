"""Quarantine workers on which nearly every task fails, then test them again.

The scheduler of the shard's owner places no tasks on a worker in quarantine. After the
quarantine the worker is on probation, which ends with its next task.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

OUTCOME_LIMIT = 10
QUARANTINE_FAILURES = 4
QUARANTINE_JOBS = 2
"""Outcomes kept per worker, and failures and distinct failed jobs for a quarantine."""

SUCCESS_RATE_LIMIT = 0.1
"""Ratio of successes to outcomes below which a worker counts as failing."""

QUARANTINE_TIME = 600.0
QUARANTINE_LIMIT = 6 * 3600.0
"""Seconds of the first and of the longest quarantine.

The time doubles after each failed probation.
"""

QUARANTINED_SHARE_LIMIT = 1 / 3
"""Largest share of workers in quarantine; more failures point to a common cause."""


@dataclass(slots=True)
class WorkerHealth:
    """Track the last outcomes on one worker as pairs of job id and success.

    quarantine_time is the length of the next quarantine in seconds.
    """

    outcomes: deque[tuple[str, bool]] = field(
        default_factory=lambda: deque(maxlen=OUTCOME_LIMIT)
    )
    quarantined_until: float = 0.0
    quarantine_time: float = QUARANTINE_TIME
    probation: bool = False

    @property
    def failing(self) -> bool:
        """Return whether nearly all tasks failed, and those of several jobs.

        On probation a single failure suffices.
        """
        failures = [job for job, succeeded in self.outcomes if not succeeded]
        if self.probation and failures:
            return True
        if len(failures) < QUARANTINE_FAILURES or len(set(failures)) < QUARANTINE_JOBS:
            return False
        return 1 - len(failures) / len(self.outcomes) < SUCCESS_RATE_LIMIT


@dataclass(slots=True)
class HealthTracker:
    """Track the health of all workers of a shard."""

    workers: dict[str, WorkerHealth] = field(default_factory=dict)

    def record(self, worker_id: str, job_id: str, succeeded: bool) -> None:
        """Record the outcome of one task."""
        health = self.workers.setdefault(worker_id, WorkerHealth())
        health.outcomes.append((job_id, succeeded))
        if succeeded and health.probation:
            health.probation = False
            health.quarantine_time = QUARANTINE_TIME

    def update(self, worker_count: int, now: float) -> frozenset[str]:
        """Begin and end quarantines; return the workers in quarantine."""
        quarantined = {w for w, h in self.workers.items() if h.quarantined_until > now}
        for worker_id, health in sorted(self.workers.items()):
            if worker_id in quarantined:
                continue
            if health.quarantined_until:
                self._begin_probation(health)
            if (
                health.failing
                and len(quarantined) + 1 <= worker_count * QUARANTINED_SHARE_LIMIT
            ):
                self._begin_quarantine(health, now)
                quarantined.add(worker_id)
        return frozenset(quarantined)

    def _begin_probation(self, health: WorkerHealth) -> None:
        health.quarantined_until = 0.0
        health.probation = True
        health.outcomes.clear()

    def _begin_quarantine(self, health: WorkerHealth, now: float) -> None:
        if health.probation:
            health.quarantine_time = min(health.quarantine_time * 2, QUARANTINE_LIMIT)
        health.quarantined_until = now + health.quarantine_time
        health.probation = False
