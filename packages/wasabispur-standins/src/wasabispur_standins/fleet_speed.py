"""Define the speeds of simulated workers, and compare learned ones with them."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from random import Random
from statistics import fmean

from wasabispur_core.workload.jobs.unit import Unit
from wasabispur_core.workload.run_times.worker_speed import WorkerSpeeds

SLOW_WORKER_FACTOR = 1.3
"""Factor by which runs take longer on every third worker."""

ENDED_RUNS = (10, 30, 100, 300, 1_000)
"""Ended runs of the fleet after which the learned factors are compared."""


def is_slow(worker_id: str) -> bool:
    """Return whether runs take longer on a worker, which is every third one."""
    return int(worker_id[1:]) % 3 == 2


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedPlan:
    """Describe how fast simulated workers are, and whether the owner learns that.

    Runs take slow_factor times as long on every third worker, and the logarithms of the
    run times of a job's units differ by the standard deviation task_spread. In lockstep,
    all members of a gang list the same progress, that of the slowest.
    """

    learned: bool = True
    slow_factor: float = SLOW_WORKER_FACTOR
    task_spread: float = 0.0
    lockstep: bool = False

    def worker_factor(self, worker_id: str) -> float:
        """Return how many times as long runs take on a worker."""
        return self.slow_factor if is_slow(worker_id) else 1.0

    def unit_factor(self, unit: Unit) -> float:
        """Return how many times as long a unit runs as its slowest worker lets it."""
        return max(map(self.worker_factor, unit.members_by_worker))

    def task_factor(self, unit: Unit) -> float:
        """Return by how much the run time of a unit differs from that of its step."""
        if not self.task_spread:
            return 1.0
        return exp(Random(repr(unit.unit_id)).gauss(0.0, self.task_spread))


DEFAULT_SPEED_PLAN = SpeedPlan()


@dataclass(slots=True)
class SpeedErrors:
    """Collect by how much learned factors are off, by the number of ended runs.

    errors contains the absolute differences of all workers' factors, and known those of
    workers with samples. workers contains the ids of the fleet's workers.
    """

    plan: SpeedPlan
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
            actual = self.plan.worker_factor(worker_id)
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
        """Return the mean errors of all workers, and of those with samples."""
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
