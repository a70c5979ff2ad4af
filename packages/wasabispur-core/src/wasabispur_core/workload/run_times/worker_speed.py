"""Learn how long runs take on each worker, relative to a typical worker.

The load is that of fleets in which some workers take longer for the same task and
nothing reports which. Runs of the same step are compared with each other, so that
callers' estimates don't matter. The state is bounded and survives a change of the owner
as one row (worker_speed_row.py).
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from math import exp, inf, log
from statistics import median
from typing import NamedTuple

from .run_time import drop_oldest

FACTOR_LIMITS = (0.5, 4.0)
"""Least and largest factor; a sample beyond them counts as the limit."""

LOG_LIMITS = (log(FACTOR_LIMITS[0]), log(FACTOR_LIMITS[1]))

NOTICED_CHANGE = 0.05
"""Difference of factors from which the planner and the stored row follow a change."""

PRIOR_WEIGHT = 1.0
"""Number of samples as which the assumption counts that a worker is typical.

Tasks of one step differ by 15 to 30% among themselves, about as much as workers do.
"""

SAMPLE_DECAY = 0.85
"""Factor on the weight of the earlier samples of a worker for a new one of weight 1.

Five new samples outweigh any number of earlier ones.
"""

HALF_LIFE = 300.0
"""Seconds in which samples lose half of their weight.

A slow worker that gets no runs because it is slow is so tried again.
"""

CERTAIN_WEIGHT = 1.0
"""Least weight of the samples of workers that tell what a typical worker is."""

SETTLING_SHARE = 0.5
"""Share of its own time for which a run waits until it is compared.

The fastest runs of a step end first; compared only with them, all later ones would look
slow. Those up to half as slow again have ended by then.
"""

LOCKSTEP_SPREAD = 0.1
"""Least difference of the logarithms of rates at which a gang's members differ.

Members of some gangs proceed together, at the rate of the slowest one.
"""

WORKER_LIMIT = 2_000
STEP_LIMIT = 1_000
STEP_WORKER_LIMIT = 64
PENDING_LIMIT = 4_096
"""Workers, steps, workers of a step and uncompared runs that are remembered."""


class SampleSource(Enum):
    """Define what tells the time of a run: its end, or the rate of its progress."""

    END = "end"
    PROGRESS = "progress"


class StepKey(NamedTuple):
    """Identify runs that are compared; the occurrences of a step are alike."""

    job_id: str
    step: int
    source: SampleSource


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedSample:
    """Describe the time in seconds that a whole task takes on a worker.

    weight is the part of a whole sample as which it counts. spread is set for a member
    of a gang on several workers.
    """

    key: StepKey
    worker_id: str
    seconds: float
    weight: float = 1.0
    spread: bool = False


@dataclass(slots=True)
class SpeedEstimate:
    """Represent the samples of one worker as their sum and their total weight.

    The samples are logarithms of ratios. sampled_at is in monotonic seconds, and samples
    counts them without their weights.
    """

    total: float = 0.0
    weight: float = 0.0
    samples: int = 0
    sampled_at: float = 0.0

    def add(self, log_ratio: float, weight: float, now: float) -> None:
        """Add a sample, which reduces the weight of the earlier ones."""
        self.fade(now)
        kept = SAMPLE_DECAY**weight
        self.total = kept * self.total + weight * log_ratio
        self.weight = kept * self.weight + weight
        self.samples += 1

    def fade(self, now: float) -> None:
        """Reduce the weight of the samples by their age."""
        share = 0.5 ** (max(now - self.sampled_at, 0.0) / HALF_LIFE)
        self.total *= share
        self.weight *= share
        self.sampled_at = now

    def log_factor(self, typical: float) -> float:
        """Return the logarithm of the factor; typical is that of a typical worker."""
        shrunk = (self.total - typical * self.weight) / (self.weight + PRIOR_WEIGHT)
        return min(max(shrunk, LOG_LIMITS[0]), LOG_LIMITS[1])

    def replace(self, factor: float, weight: float, now: float) -> None:
        """Set the factor, with the weight of as many samples."""
        self.total = log(factor) * (weight + PRIOR_WEIGHT)
        self.weight = weight
        self.sampled_at = now


@dataclass(slots=True, kw_only=True)
class WorkerSpeeds:
    """Represent the factors of all workers on the run times of their runs.

    factors contains those that differ from 1 by more than NOTICED_CHANGE, as decisions
    and the row use them. estimates contains the samples of each worker, in the order of
    the last one, steps the sums of logarithms and the numbers of the times of each step
    by worker, and pending the samples to compare, by the time when they are due. typical
    is the median of the logarithms of all workers' ratios. sequence numbers the pending
    samples, so that equal times keep their order. stored_known is set once the row of a
    former owner was read; until then none is written. unsaved is set if factors changed
    since the last write, which was at saved_at. followed_at is the time of the last update. reported contains
    the workers that the log knows as slow, and reported_at the time of a worker's last
    record. Times are in monotonic seconds.
    """

    enabled: bool = True
    stored_known: bool = False
    unsaved: bool = False
    saved_at: float = -inf
    followed_at: float = -inf
    typical: float = 0.0
    factors: dict[str, float] = field(default_factory=dict)
    estimates: dict[str, SpeedEstimate] = field(default_factory=dict)
    steps: dict[StepKey, dict[str, tuple[float, int]]] = field(default_factory=dict)
    pending: list[tuple[float, int, SpeedSample]] = field(default_factory=list)
    sequence: int = 0
    reported: set[str] = field(default_factory=set)
    reported_at: dict[str, float] = field(default_factory=dict)

    def factor(self, worker_id: str) -> float:
        """Return how many times as long runs take on a worker as on a typical one."""
        return self.factors.get(worker_id, 1.0)

    def observe(self, sample: SpeedSample, worked: float, now: float) -> None:
        """Record a sample, to compare it once similar runs have ended.

        worked is the time in seconds over which it was observed.
        """
        times = self.steps.pop(sample.key, None)
        if times is None:
            times = {}
        total, count = times.pop(sample.worker_id, (0.0, 0))
        times[sample.worker_id] = (total + log(sample.seconds), count + 1)
        drop_oldest(times, STEP_WORKER_LIMIT)
        self.steps[sample.key] = times
        drop_oldest(self.steps, STEP_LIMIT)
        # Beyond the limit, a sample still serves as a reference, but is not compared.
        if len(self.pending) < PENDING_LIMIT:
            self.sequence += 1
            due = now + SETTLING_SHARE * worked
            heappush(self.pending, (due, self.sequence, sample))

    def compare_due(self, now: float) -> None:
        """Compare the samples that are due with the other runs of their steps."""
        while self.pending and self.pending[0][0] <= now:
            _, _, sample = heappop(self.pending)
            self._compare(sample, now)

    def _compare(self, sample: SpeedSample, now: float) -> None:
        times = self.steps.get(sample.key, {})
        others = [
            total / count - log(self.factor(worker_id))
            for worker_id, (total, count) in times.items()
            if worker_id != sample.worker_id
        ]
        if not others or (sample.spread and _is_lockstep(times)):
            return
        log_ratio = log(sample.seconds) - median(others)
        log_ratio = min(max(log_ratio, LOG_LIMITS[0]), LOG_LIMITS[1])
        # With few others, their own differences are a part of the ratio.
        weight = sample.weight * len(others) / (len(others) + 1)
        estimate = self.estimates.pop(sample.worker_id, None)
        if estimate is None:
            estimate = SpeedEstimate(sampled_at=now)
        estimate.add(log_ratio, weight, now)
        self.estimates[sample.worker_id] = estimate

    def update(self, fleet_size: int, now: float) -> set[str]:
        """Bring the factors up to date, and return the workers whose factors changed.

        A worker of the fleet without samples counts as typical: a new owner reads only
        the factors of workers that are not.
        """
        for estimate in self.estimates.values():
            estimate.fade(now)
        ratios = [
            one.total / one.weight
            for one in self.estimates.values()
            if one.weight >= CERTAIN_WEIGHT
        ]
        ratios += [0.0] * (fleet_size - len(ratios))
        self.typical = median(ratios) if ratios else 0.0
        changed: set[str] = set()
        for worker_id, estimate in self.estimates.items():
            factor = exp(estimate.log_factor(self.typical))
            if abs(factor - self.factor(worker_id)) <= NOTICED_CHANGE:
                continue
            changed.add(worker_id)
            if abs(factor - 1.0) > NOTICED_CHANGE:
                self.factors[worker_id] = factor
            else:
                del self.factors[worker_id]
        self.unsaved |= bool(changed)
        return changed

    def restart(self, worker_id: str, now: float) -> None:
        """Keep the factor of a restarted worker with the weight of one sample."""
        estimate = self.estimates.get(worker_id)
        if estimate is None:
            return
        estimate.fade(now)
        factor = exp(estimate.log_factor(self.typical))
        estimate.replace(factor, min(estimate.weight, 1.0), now)

    def restore(self, worker_id: str, factor: float, weight: float, now: float) -> None:
        """Add a stored factor as samples older than all that were learned since.

        Each sample learned since counts as a whole one here, whatever its weight.
        """
        learned = self.estimates.get(worker_id)
        stored = SpeedEstimate()
        stored.replace(factor, weight, now)
        if learned is None:
            self.estimates[worker_id] = stored
        else:
            kept = SAMPLE_DECAY**learned.samples
            learned.total += kept * stored.total
            learned.weight += kept * stored.weight
        self.factors[worker_id] = factor

    def forget_beyond_limit(self, present: Container[str]) -> None:
        """Drop removed workers, and then the oldest ones, beyond the limit."""
        surplus = len(self.estimates) - WORKER_LIMIT
        if surplus <= 0:
            return
        by_presence = sorted(self.estimates, key=present.__contains__)
        for worker_id in by_presence[:surplus]:
            del self.estimates[worker_id]
            self.unsaved |= self.factors.pop(worker_id, None) is not None
            self.reported.discard(worker_id)
            self.reported_at.pop(worker_id, None)


def _is_lockstep(times: dict[str, tuple[float, int]]) -> bool:
    """Return whether the workers of a step show the same rate, as in lockstep."""
    means = [total / count for total, count in times.values()]
    return max(means) - min(means) < LOCKSTEP_SPREAD
