"""Sum up the service and the waste of one queue, organisation or data centre."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from random import Random

from wasabispur_core.workload.jobs.unit_stop import WasteCause
from wasabispur_core.workload.workers.worker import EndKind

from .log_record import RunEnded
from .open_job import OpenJob

SAMPLE_LIMIT = 20_000
"""Values of which quantiles are computed; of more, a random sample is kept."""

NAME_LIMIT = 50
"""Distinct reasons of refusals or data centres of a group; others are summed up."""

OTHER_NAME = "other"

HIGH_QUANTILE = 0.95

SHORTEST_RUN = 0.01
"""Shortest run in seconds whose expected time is compared; records are this precise."""


@dataclass(slots=True)
class Sample:
    """Hold values for their quantiles, and the largest value."""

    values: list[float] = field(default_factory=list)
    count: int = 0
    largest: float = 0.0
    random: Random = field(default_factory=lambda: Random(0))

    def add(self, value: float) -> None:
        """Add a value; each one is kept with the same probability."""
        self.count += 1
        self.largest = max(self.largest, value)
        if len(self.values) < SAMPLE_LIMIT:
            self.values.append(value)
            return
        position = self.random.randrange(self.count)
        if position < SAMPLE_LIMIT:
            self.values[position] = value

    @property
    def median(self) -> float | None:
        """Return the median, or None without values."""
        return statistics.median(self.values) if self.values else None

    @property
    def high(self) -> float | None:
        """Return the 0.95 quantile, or None without values."""
        if len(self.values) < 2:
            return self.values[0] if self.values else None
        cuts = statistics.quantiles(self.values, n=100, method="inclusive")
        return cuts[round(100 * HIGH_QUANTILE) - 1]

    @property
    def maximum(self) -> float | None:
        """Return the largest value, or None without values."""
        return self.largest if self.count else None


@dataclass(slots=True)
class ServiceGroup:
    """Sum up the jobs and runs of one group; waste is in core-seconds.

    runs counts the runs of units, and data_centres those by the data centre of their
    workers: a run of a gang over two counts in both. Errors are relative to the time
    that a completed first run took.
    """

    accepted: int = 0
    rejected: Counter[str] = field(default_factory=Counter)
    uncertain: int = 0
    ended: Counter[str] = field(default_factory=Counter)
    open: int = 0
    waits: Sample = field(default_factory=Sample)
    runs: int = 0
    data_centres: Counter[str] = field(default_factory=Counter)
    stops: Counter[str] = field(default_factory=Counter)
    lost: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    overhead: defaultdict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    expected_errors: Sample = field(default_factory=Sample)
    declared_errors: Sample = field(default_factory=Sample)

    def add_job(self, job: OpenJob) -> None:
        """Add what became of a job, without its runs."""
        self.accepted += job.accepted
        if job.end_state:
            count_name(self.ended, job.end_state)
        elif job.accepted or job.seen_running:
            self.open += 1
        elif job.uncertain:
            self.uncertain += 1
        elif job.refusal:
            count_name(self.rejected, job.refusal)
        if job.waited is not None:
            self.waits.add(job.waited)
        for idle in job.idle.values():
            self.overhead[WasteCause.IDLE.value] += idle

    def add_end(self, end: RunEnded) -> None:
        """Add the waste of a task's run, and the errors of its expected times."""
        if end.cause:
            self.lost[end.cause] += end.lost
            self.overhead[end.cause] += end.overhead
        if end.how != EndKind.DONE or end.run != 1 or end.ran < SHORTEST_RUN:
            return
        if end.expected:
            self.expected_errors.add(abs(end.expected - end.ran) / end.ran)
        if end.declared:
            self.declared_errors.add(abs(end.declared - end.ran) / end.ran)


def count_name(counter: Counter[str], name: str) -> None:
    """Count a name, or the rest if there are too many distinct names."""
    known = name in counter or len(counter) < NAME_LIMIT
    counter[name if known else OTHER_NAME] += 1
