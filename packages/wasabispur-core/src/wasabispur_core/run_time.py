"""Estimate run times from completed jobs, since declared estimates are far off.

The scheduler of the shard's owner uses the estimates for reservations and backfill.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from .job_record import JobSpec

UNKNOWN_RUN_TIME = 3600.0
"""Expected seconds of a job that has neither an estimate nor a history."""

HISTORY_LIMIT = 20
JOB_KIND_LIMIT = 1_000
"""Maximum number of run times kept for one kind of job, and of kinds."""

HISTORY_MINIMUM = 3
"""Number of run times of one kind that an expected run time needs."""

JobKind = tuple[str, str]


@dataclass(slots=True)
class RunTimes:
    """Record the last run times by organisation and class.

    Each pair consists of the actual seconds and their ratio to the declared estimate,
    or 0 if the caller declared none.
    """

    history: dict[JobKind, deque[tuple[float, float]]] = field(default_factory=dict)

    def record(self, spec: JobSpec, seconds: float) -> None:
        """Remember the run time of a completed job."""
        kind = (spec.organisation, spec.work_class)
        if kind not in self.history and len(self.history) >= JOB_KIND_LIMIT:
            return
        ratio = seconds / spec.estimate if spec.estimate else 0.0
        past = self.history.setdefault(kind, deque(maxlen=HISTORY_LIMIT))
        past.append((seconds, ratio))

    def expected_run_time(self, spec: JobSpec) -> float:
        """Return the expected run time in seconds."""
        past = self.history.get((spec.organisation, spec.work_class), ())
        ratios = [ratio for _, ratio in past if ratio]
        if spec.estimate and len(ratios) >= HISTORY_MINIMUM:
            return spec.estimate * median(ratios)
        if len(past) >= HISTORY_MINIMUM:
            return median(seconds for seconds, _ in past)
        return spec.estimate or UNKNOWN_RUN_TIME

    def remaining(self, spec: JobSpec, elapsed: float) -> float:
        """Return the expected remaining seconds of a running job.

        A job that has overrun is expected to run as long again.
        """
        expected = self.expected_run_time(spec)
        return expected - elapsed if elapsed < expected else max(elapsed, 1.0)
