"""Fit the run times of tasks to log-normal distributions.

A task's run time is estimated from two sources: the times of similar tasks, and the
caller's declared estimate times the ratio by which such estimates have been off. Each
source counts by the inverse of its variance, so that estimates that are far off count
little beside times that are alike.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from math import exp, inf, log, sqrt
from statistics import fmean, median, NormalDist
from typing import NamedTuple

from ..jobs.step_graph import DEFAULT_ESTIMATE

PRIOR_WEIGHT = 3
"""Number of observations as which the parent group counts in a group."""

VOICE_LIMIT = 5
"""Number of observations that count of one organisation in a parent group."""

RATIO_VOICES = 3
"""Organisations whose estimates were compared before others' estimates are corrected.

The median of fewer could be the doing of one caller.
"""

LOG_LIMIT = 16.0
"""Largest logarithm of a time in seconds (103 days) or of a ratio, either sign."""

CERTAIN_SHARE = 0.7
"""Share of the median up to which a run's remaining time is the rest of the median."""

OVERRUN_SHARE = 0.25
"""Least remaining time of a run without comparison, as a share of its time so far."""

OUTLIER_SHARE = 0.99
"""Share of similar runs after which a run that still goes on is like none of them."""

STANDARD = NormalDist()


class Observation(NamedTuple):
    """Describe the run time of one task; declared is 0 without a caller's estimate."""

    declared: float
    seconds: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """Describe the expected run time of a task.

    median is in seconds, and spread the standard deviation of the time's logarithm. It
    is zero if nothing is known beyond the declared estimate.
    """

    median: float
    spread: float = 0.0

    def quantile(self, share: float) -> float:
        """Return the seconds within which a share of such tasks complete."""
        return self.median * exp(self.spread * STANDARD.inv_cdf(share))

    def remaining(self, elapsed: float, share: float = 0.5) -> float:
        """Return the seconds within which a share of those that still run complete."""
        if elapsed <= 0.0:
            return self.quantile(share)
        if not self.spread:
            return max(self.median - elapsed, 0.0)
        past = STANDARD.cdf(log(elapsed / self.median) / self.spread)
        # Beyond the largest share that a float can tell from one, the run counts as
        # one of the last.
        reached = min(past + share * (1 - past), 1 - 1e-9)
        return max(self.quantile(reached) - elapsed, 0.0)

    def remaining_median(self, elapsed: float) -> float:
        """Return the expected remaining seconds, at low cost before the median."""
        if elapsed < CERTAIN_SHARE * self.median:
            return self.median - elapsed
        if self.spread and elapsed <= self.quantile(OUTLIER_SHARE):
            return self.remaining(elapsed)
        return max(self.median - elapsed, OVERRUN_SHARE * elapsed)


@dataclass(frozen=True, slots=True)
class Summary:
    """Summarise observations by the medians and variances of their logarithms.

    ratios counts those with a declared estimate.
    """

    count: int
    log_time: float
    time_variance: float
    ratios: int
    log_ratio: float
    ratio_variance: float


@dataclass(frozen=True, slots=True)
class Fit:
    """Represent what is known of the tasks of a group.

    log_time is the logarithm of the median run time in seconds, or None if no task of
    the group has run. log_ratio is that of the median ratio to the declared estimate.
    """

    log_time: float | None = None
    time_variance: float = 0.5
    log_ratio: float = 0.0
    ratio_variance: float = 0.25

    def forecast(self, declared: float, default: float = DEFAULT_ESTIMATE) -> Forecast:
        """Return the expected run time of a task with a declared estimate, or 0.

        default is taken if neither an estimate nor a run is known.
        """
        if self.log_time is None:
            return Forecast(declared or default)
        if not declared:
            return Forecast(exp(self.log_time), sqrt(self.time_variance))
        total = self.time_variance + self.ratio_variance
        weight = self.time_variance / total
        corrected = _clamped(log(declared)) + self.log_ratio
        centre = weight * corrected + (1 - weight) * self.log_time
        return Forecast(exp(centre), sqrt(weight * self.ratio_variance))

    def refined(self, summary: Summary) -> Fit:
        """Return the fit of a group of which this is the parent's."""
        known = self.log_time
        return Fit(
            log_time=summary.log_time
            if known is None
            else _weighted(summary.log_time, summary.count, known),
            time_variance=_variance(
                summary.time_variance, summary.count, self.time_variance
            ),
            log_ratio=_weighted(summary.log_ratio, summary.ratios, self.log_ratio),
            ratio_variance=_variance(
                summary.ratio_variance, summary.ratios, self.ratio_variance
            ),
        )


def summarise(observations: Collection[Observation]) -> Summary:
    """Return the summary of at least one observation."""
    times = [_log(one.seconds) for one in observations]
    ratios = [
        _clamped(_log(one.seconds) - _log(one.declared))
        for one in observations
        if one.declared > 0
    ]
    log_time = median(times)
    log_ratio = median(ratios) if ratios else 0.0
    return Summary(
        count=len(times),
        log_time=log_time,
        time_variance=_spread_around(log_time, times),
        ratios=len(ratios),
        log_ratio=log_ratio,
        ratio_variance=_spread_around(log_ratio, ratios),
    )


def shared_summary(organisations: Iterable[Sequence[Summary]]) -> Summary:
    """Return the summary of several organisations' groups.

    Each organisation has one voice, however many runs it has had, so that none can move
    what is expected of the others' tasks beyond the median of all.
    """
    voices = [_merged(groups) for groups in organisations]
    log_time = median(one.log_time for one in voices)
    declared = [one for one in voices if one.ratios]
    compared = len(declared) >= RATIO_VOICES
    log_ratio = median(one.log_ratio for one in declared) if compared else 0.0
    return Summary(
        count=_counted(one.count for one in voices),
        log_time=log_time,
        time_variance=fmean(
            one.time_variance + (one.log_time - log_time) ** 2 for one in voices
        ),
        ratios=_counted(one.ratios for one in declared) if compared else 0,
        log_ratio=log_ratio,
        ratio_variance=median(
            one.ratio_variance + (one.log_ratio - log_ratio) ** 2 for one in declared
        )
        if compared
        else 0.0,
    )


def _merged(groups: Sequence[Summary]) -> Summary:
    """Return the summary of the groups of one organisation."""
    if len(groups) == 1:
        return groups[0]
    counts = [one.count for one in groups]
    ratios = [one.ratios for one in groups]
    log_time = fmean([one.log_time for one in groups], counts)
    declared = any(ratios)
    log_ratio = fmean([one.log_ratio for one in groups], ratios) if declared else 0.0
    return Summary(
        count=sum(counts),
        log_time=log_time,
        time_variance=fmean(
            [one.time_variance + (one.log_time - log_time) ** 2 for one in groups],
            counts,
        ),
        ratios=sum(ratios),
        log_ratio=log_ratio,
        ratio_variance=fmean(
            [one.ratio_variance + (one.log_ratio - log_ratio) ** 2 for one in groups],
            ratios,
        )
        if declared
        else 0.0,
    )


def _counted(counts: Iterable[int]) -> int:
    return sum(min(count, VOICE_LIMIT) for count in counts)


def _weighted(value: float, count: int, prior: float) -> float:
    return (count * value + PRIOR_WEIGHT * prior) / (count + PRIOR_WEIGHT)


def _variance(value: float, count: int, prior: float) -> float:
    """Return a variance that is the parent's until a second observation exists."""
    if count < 2:
        return prior
    return (count * value + PRIOR_WEIGHT * prior) / (count - 1 + PRIOR_WEIGHT)


def _spread_around(centre: float, values: Collection[float]) -> float:
    return fmean((one - centre) ** 2 for one in values) if values else 0.0


def _log(seconds: float) -> float:
    return _clamped(log(seconds) if 0 < seconds < inf else 0.0)


def _clamped(value: float) -> float:
    return min(max(value, -LOG_LIMIT), LOG_LIMIT)
