"""Learn how long tasks run from the runs that have ended.

Callers' estimates are far off, and the placement of units depends on the run times of
those that wait and those that run. The state is bounded and survives a change of the
owner as one row (run_time_row.py).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from math import exp, inf, log, sqrt
from statistics import median
from typing import Any, NamedTuple, TypeVar

from ..jobs.spec import StepSpec
from ..jobs.step_graph import DEFAULT_ESTIMATE
from .run_time_fit import Fit, Forecast, Observation, shared_summary, summarise, Summary

OBSERVATION_LIMIT = 16
"""Steps of jobs that a group remembers; a change shows after about half of them."""

GROUP_LIMIT = 512
STEP_LIMIT = 1_000
RUN_LIMIT = 15
"""Groups, steps of jobs and runs of a step that are remembered, the latest ones."""

STEP_PRIOR_WEIGHT = 0.25
"""Number of runs of the same step as which the step's group counts.

The tasks of a step are alike, those of different jobs are not.
"""

STEP_VARIANCE = 0.02
"""Variance of the logarithms of one step's run times, from unequal workers."""

Key = TypeVar("Key")

OVERHEAD_LIMIT = 1.25
"""Largest factor that counts as overhead; more is an error of the estimates."""


class RunOutcome(Enum):
    """Define how a run ended: completed, or before it was complete."""

    COMPLETED = "completed"
    INTERRUPTED = "interrupted"


class EstimateUse(Enum):
    """Define what is computed from learned run times instead of declared estimates."""

    NOTHING = "nothing"
    NEEDS = "needs"
    ALL = "all"


class RunGroup(NamedTuple):
    """Identify tasks of one organisation that are alike.

    accelerators is the number of digits of their number in base 2.
    """

    queue: str
    organisation: str
    accelerators: int
    gang: bool


@dataclass(frozen=True, slots=True)
class RunKind:
    """Describe the tasks of a job's step; declared is 0 without an estimate."""

    group: RunGroup
    step_key: str
    declared: float


def run_kind(
    queue: str, organisation: str, step: StepSpec, job_id: str = "", number: int = 0
) -> RunKind:
    """Return the kind of a step's tasks; number is the step's position in its job."""
    group = RunGroup(
        queue, organisation, step.demand.accelerators.bit_length(), step.gang
    )
    return RunKind(group, f"{job_id}.{number}", max(step.estimate, 0.0))


@dataclass(slots=True)
class QueueFits:
    """Keep the fits of a queue, of its shapes (accelerators and gang), and its groups."""

    queue: Fit
    shapes: dict[tuple[int, bool], Fit]
    groups: dict[RunGroup, Fit] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobForecast:
    """Describe the expected run times of a job's tasks, by step.

    paths contains for each step the seconds of the step and its longest chain of
    dependents, and longest_path the largest of them.
    """

    steps: tuple[Forecast, ...]
    paths: tuple[float, ...]
    longest_path: float


@dataclass(slots=True)
class RunTimeModel:
    """Represent the run times learned so far, from which forecasts are made.

    groups contains the observations of each group by step, and steps the run times of
    each step in seconds, both in the order of the last record. changed_queues contains
    the queues whose fits are out of date until the next refresh, which was last at
    refreshed_at. use tells for what the owner uses the run times, and default is the
    expected time in seconds if neither a run nor an estimate is known. stored_known is set
    once the owner has read what a former one learned, unsaved if there is more to
    store, which was last done at saved_at. Times are in monotonic seconds.
    """

    use: EstimateUse = EstimateUse.ALL
    default: float = DEFAULT_ESTIMATE
    stored_known: bool = False
    unsaved: bool = False
    saved_at: float = -inf
    refreshed_at: float = -inf
    groups: dict[RunGroup, dict[str, Observation]] = field(default_factory=dict)
    steps: dict[str, deque[float]] = field(default_factory=dict)
    summaries: dict[RunGroup, Summary] = field(default_factory=dict)
    fits: dict[str, QueueFits] = field(default_factory=dict)
    changed_queues: set[str] = field(default_factory=set)

    def record(self, kind: RunKind, seconds: float, outcome: RunOutcome) -> None:
        """Learn from a run that ended after some seconds of work.

        An interrupted run tells only that the task takes longer, and is taken for one
        that would have ended at the median of those that take longer.
        """
        if seconds <= 0.0:
            return
        if outcome is RunOutcome.INTERRUPTED:
            forecast = self.forecast(kind)
            if seconds <= forecast.median:
                return
            seconds += forecast.remaining(seconds)
        runs = self.steps.pop(kind.step_key, None) or deque(maxlen=RUN_LIMIT)
        runs.append(seconds)
        self.steps[kind.step_key] = runs
        drop_oldest(self.steps, STEP_LIMIT)
        self.observe(kind, Observation(kind.declared, median(runs)))

    def observe(self, kind: RunKind, observation: Observation) -> None:
        """Put the observation of a step in place of the one before."""
        group = kind.group
        observations = self.groups.pop(group, {})
        observations.pop(kind.step_key, None)
        observations[kind.step_key] = observation
        drop_oldest(observations, OBSERVATION_LIMIT)
        self.groups[group] = observations
        self.summaries.pop(group, None)
        for dropped in drop_oldest(self.groups, GROUP_LIMIT):
            self.summaries.pop(dropped, None)
        self.changed_queues.add(group.queue)
        self.unsaved = True

    def trim(self) -> None:
        """Drop what is beyond the limits, and derive all fits again."""
        for observations in self.groups.values():
            drop_oldest(observations, OBSERVATION_LIMIT)
        drop_oldest(self.groups, GROUP_LIMIT)
        self.summaries.clear()
        self.fits.clear()
        self.changed_queues.update(group.queue for group in self.groups)

    def refresh(self) -> set[str]:
        """Bring the fits up to date, and return the queues whose fits have changed."""
        changed, self.changed_queues = self.changed_queues, set()
        for queue in changed:
            self.fits.pop(queue, None)
        return changed

    def forecast(self, kind: RunKind) -> Forecast:
        """Return the expected run time of a task."""
        forecast = self._fit(kind.group).forecast(kind.declared, self.default)
        runs = self.steps.get(kind.step_key)
        if not runs:
            return forecast
        count = len(runs)
        share = count / (count + STEP_PRIOR_WEIGHT)
        centre = share * log(median(runs)) + (1 - share) * log(forecast.median)
        variance = STEP_VARIANCE + ((1 - share) * forecast.spread) ** 2
        return Forecast(exp(centre), sqrt(variance))

    def overhead(self, queue: str) -> float:
        """Return the factor by which runs of a queue exceed the work of their tasks.

        Callers estimate the work, too low as often as too high, so that the median ratio
        of all organisations shows the delays and the slower workers of the runs.
        """
        log_ratio = self._queue_fits(queue).queue.log_ratio
        return min(max(exp(log_ratio), 1.0), OVERHEAD_LIMIT)

    def expected(self, kind: RunKind) -> float:
        """Return the median of a task's run time in seconds."""
        return self.forecast(kind).median

    def quantile(self, kind: RunKind, share: float) -> float:
        """Return the seconds within which a share of such tasks complete."""
        return self.forecast(kind).quantile(share)

    def remaining(self, kind: RunKind, elapsed: float, share: float = 0.5) -> float:
        """Return the seconds within which a share of those that still run complete."""
        return self.forecast(kind).remaining(elapsed, share)

    def queue_forecast(self, queue: str) -> Forecast | None:
        """Return the run time of a queue's tasks without estimates, if any has run."""
        if self.use is EstimateUse.NOTHING:
            return None
        fit = self._queue_fits(queue).queue
        return None if fit.log_time is None else fit.forecast(0.0)

    def _fit(self, group: RunGroup) -> Fit:
        fits = self._queue_fits(group.queue)
        fit = fits.groups.get(group)
        if fit is None:
            fit = fits.shapes.get((group.accelerators, group.gang), fits.queue)
            if group in self.groups:
                fit = fit.refined(self._summary(group))
            fits.groups[group] = fit
        return fit

    def _queue_fits(self, queue: str) -> QueueFits:
        """Return the fits of a queue and its shapes, each from its organisations."""
        known = self.fits.get(queue)
        if known is not None:
            return known
        organisations: dict[str, list[Summary]] = {}
        shapes: dict[tuple[int, bool], list[list[Summary]]] = {}
        for group in self.groups:
            if group.queue == queue:
                summary = self._summary(group)
                organisations.setdefault(group.organisation, []).append(summary)
                shape = group.accelerators, group.gang
                shapes.setdefault(shape, []).append([summary])
        fit = Fit()
        if organisations:
            fit = fit.refined(shared_summary(organisations.values()))
        fits = self.fits[queue] = QueueFits(
            queue=fit,
            shapes={
                shape: fit.refined(shared_summary(voices))
                for shape, voices in shapes.items()
            },
        )
        return fits

    def _summary(self, group: RunGroup) -> Summary:
        summary = self.summaries.get(group)
        if summary is None:
            summary = summarise(self.groups[group].values())
            self.summaries[group] = summary
        return summary


def drop_oldest(items: dict[Key, Any], limit: int) -> list[Key]:
    """Remove and return the keys that were added first, beyond a limit."""
    dropped = list(islice(items, max(len(items) - limit, 0)))
    for key in dropped:
        del items[key]
    return dropped
