"""Compare the learned speeds of simulated workers with the actual ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import fmean

from wasabispur_core.workload.run_times.worker_speed import WorkerSpeeds

ENDED_RUNS = (10, 30, 100, 300, 1_000)
"""Ended runs of the fleet after which the learned factors are compared."""


def is_slow(worker_id: str) -> bool:
    """Return whether runs take longer on a worker, which is every third one."""
    return int(worker_id[1:]) % 3 == 2


@dataclass(slots=True)
class SpeedErrors:
    """Collect by how much learned factors are off, by the number of ended runs.

    errors contains the absolute differences of all workers' factors, and known those of
    workers with samples. workers contains the ids of the fleet's workers.
    """

    slow_factor: float
    ended: int = 0
    errors: dict[int, list[float]] = field(default_factory=dict)
    known: dict[int, list[float]] = field(default_factory=dict)
    workers: list[str] = field(default_factory=list)

    def count_end(self, speeds: WorkerSpeeds) -> None:
        """Count an ended run, and compare the factors after some numbers of them."""
        self.ended += 1
        if self.ended not in ENDED_RUNS:
            return
        for worker_id in self.workers:
            actual = self.slow_factor if is_slow(worker_id) else 1.0
            error = abs(speeds.factor(worker_id) - actual)
            self.errors.setdefault(self.ended, []).append(error)
            if worker_id in speeds.estimates:
                self.known.setdefault(self.ended, []).append(error)

    def add(self, other: SpeedErrors) -> None:
        """Add the errors of another load."""
        for mine, others in ((self.errors, other.errors), (self.known, other.known)):
            for ended, errors in others.items():
                mine.setdefault(ended, []).extend(errors)

    def rows(self) -> list[dict[str, float]]:
        """Return the mean errors of all workers and of those with samples, as a table."""
        return [
            {
                "ended_runs": ended,
                "workers": len(errors),
                "mean_error": fmean(errors),
                "sampled_workers": len(self.known.get(ended, ())),
                "sampled_mean_error": fmean(self.known.get(ended) or [0.0]),
            }
            for ended, errors in sorted(self.errors.items())
        ]
