"""Compare learned and declared run times with the actual ones, in experiments."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp, log
from statistics import median

from wasabispur_core.workload.run_times.run_time import run_kind, RunTimeModel

from .fleet_load import GeneratedJob

FINISHED_RUNS = (0, 10, 30, 100)
"""Finished runs of the same queue from which on jobs are counted together."""


@dataclass(slots=True)
class ForecastErrors:
    """Collect the factors by which the expected run times of jobs were off.

    Each pair consists of the learned and the declared one, by queue and the finished
    runs at the job's arrival. expected contains the same times of jobs of which no task
    has completed.
    """

    pairs: dict[tuple[str, int], list[tuple[float, float]]] = field(
        default_factory=dict
    )
    finished: dict[str, int] = field(default_factory=dict)
    expected: dict[str, tuple[int, float, float]] = field(default_factory=dict)

    def expect(self, job: GeneratedJob, model: RunTimeModel) -> None:
        """Note what is expected of a job that arrives."""
        spec = job.spec
        (step,) = spec.steps
        kind = run_kind(spec.queue, spec.organisation, step, spec.job_id)
        count = self.finished.get(spec.queue, 0)
        least = max(one for one in FINISHED_RUNS if one <= count)
        self.expected[spec.job_id] = least, model.expected(kind), step.estimate

    def compare(self, job: GeneratedJob, seconds: float) -> None:
        """Compare what was expected with the first uninterrupted run of a task.

        seconds is the time from its order to its recorded end.
        """
        known = self.expected.pop(job.spec.job_id, None)
        if known is not None:
            least, learned, declared = known
            pair = _factor(learned, seconds), _factor(declared, seconds)
            self.pairs.setdefault((job.spec.queue, least), []).append(pair)

    def count_end(self, queue: str) -> None:
        """Count a finished run."""
        self.finished[queue] = self.finished.get(queue, 0) + 1

    def add(self, other: ForecastErrors) -> None:
        """Add the errors of another load."""
        for key, pairs in other.pairs.items():
            self.pairs.setdefault(key, []).extend(pairs)

    def rows(self) -> list[dict[str, object]]:
        """Return the median and the 0.9 quantile of the factors, as a table."""
        return [
            {
                "queue": queue,
                "finished_runs": least,
                "jobs": len(pairs),
                **_quantiles("learned", [learned for learned, _ in pairs]),
                **_quantiles("declared", [declared for _, declared in pairs]),
            }
            for (queue, least), pairs in sorted(self.pairs.items())
        ]


def _factor(expected: float, actual: float) -> float:
    """Return the factor between two times, which is at least one."""
    return exp(abs(log(expected / actual)))


def _quantiles(name: str, factors: Iterable[float]) -> dict[str, float]:
    ordered = sorted(factors)
    return {
        f"{name}_p50": median(ordered),
        f"{name}_p90": ordered[int(0.9 * len(ordered))],
    }
