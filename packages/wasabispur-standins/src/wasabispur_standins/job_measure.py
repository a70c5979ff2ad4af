"""Collect the measures of one run of the job benchmark, a development tool."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wasabispur_core.jobs.placement import GangSize

from .job_load import GeneratedJob, TASK_ACCELERATORS

GANG_SIZES = (16, 32, 64)
"""Gang sizes in accelerators whose waits are reported."""

PROBE_SIZES = (64, 32, 16, 8, 4, 2, 1)
"""Gang sizes in accelerators that are tried to find the largest placeable one."""

Fits = Callable[[GangSize], bool]


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value at a quantile from 0 to 1, or 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def gang_size(accelerators: int) -> GangSize:
    """Return the gang of a job with the given number of accelerators."""
    return GangSize(
        tasks=max(accelerators // TASK_ACCELERATORS, 1),
        accelerators=min(accelerators, TASK_ACCELERATORS),
    )


@dataclass(slots=True)
class Measures:
    """Collect the measures of one run under one scheduler; times are in seconds.

    Starts and ends are by job id. These have one value for each sample:
    largest_gang_shares the largest placeable gang as a share of the free accelerators,
    stranded 1 if the free capacity fits no queued gang and else 0, and utilisation the
    share of the accelerators in use. Samples without free accelerators have only the
    utilisation, and those without queued gangs no value of stranded. Reclaims are the
    times that reclaims took, and late_reclaims counts those over the bound. Lost work
    is in accelerator seconds, decisions in CPU seconds.
    """

    name: str
    accelerators: int
    starts: dict[str, float] = field(default_factory=dict)
    ends: dict[str, float] = field(default_factory=dict)
    largest_gang_shares: list[float] = field(default_factory=list)
    stranded: list[float] = field(default_factory=list)
    utilisation: list[float] = field(default_factory=list)
    reclaims: list[float] = field(default_factory=list)
    lost_work: float = 0.0
    preemptions: int = 0
    late_reclaims: int = 0
    decisions: list[float] = field(default_factory=list)

    def sample(self, free: int, fits: Fits, waiting: Iterable[GangSize]) -> None:
        """Record utilisation and fragmentation at one moment.

        Free is the number of free accelerators; waiting has the sizes of queued gangs.
        """
        self.utilisation.append(1 - free / self.accelerators)
        if not free:
            return
        placeable = next((s for s in PROBE_SIZES if fits(gang_size(s))), 0)
        self.largest_gang_shares.append(min(placeable / free, 1.0))
        shapes = set(waiting)
        if shapes:
            self.stranded.append(float(not any(fits(shape) for shape in shapes)))

    def completions(self, jobs: list[GeneratedJob], work_class: str) -> list[float]:
        """Return the seconds from submission to end of the ended jobs of a class."""
        return [
            self.ends[job.job_id] - job.submitted
            for job in jobs
            if job.spec.work_class == work_class and job.job_id in self.ends
        ]

    def waits(
        self, jobs: list[GeneratedJob], accelerators: int, end: float
    ) -> list[float]:
        """Return the seconds from submission to start of the gangs of a size.

        A gang that never started counts as waiting until the end.
        """
        return [
            self.starts.get(job.job_id, end) - job.submitted
            for job in jobs
            if job.accelerators == accelerators
        ]
