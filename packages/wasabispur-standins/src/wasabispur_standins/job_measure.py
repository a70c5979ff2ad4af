"""Collect the measures of one run of the job benchmark."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wasabispur_core.placement import GangSize

from .job_load import LoadedJob, TASK_ACCELERATORS

GANG_SIZES = (16, 32, 64)
PROBE_SIZES = (64, 32, 16, 8, 4, 2, 1)
"""Gangs whose wait is measured, and gangs tried for the largest placeable one."""

Fits = Callable[[GangSize], bool]


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which a share of the values lies, or 0 of none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def gang_size(accelerators: int) -> GangSize:
    """Return the gang of a job with so many accelerators."""
    return GangSize(
        tasks=max(accelerators // TASK_ACCELERATORS, 1),
        accelerators=min(accelerators, TASK_ACCELERATORS),
    )


@dataclass(slots=True)
class Measures:
    """Hold what one run showed; times are in seconds."""

    name: str
    accelerators: int
    starts: dict[str, float] = field(default_factory=dict)
    ends: dict[str, float] = field(default_factory=dict)
    largest: list[float] = field(default_factory=list)
    stranded: list[float] = field(default_factory=list)
    used: list[float] = field(default_factory=list)
    reclaims: list[float] = field(default_factory=list)
    lost_work: float = 0.0
    preemptions: int = 0
    broken: int = 0
    decisions: list[float] = field(default_factory=list)

    def sample(self, free: int, fits: Fits, waiting: Iterable[GangSize]) -> None:
        """Note utilisation and fragmentation at one moment."""
        self.used.append(1 - free / self.accelerators)
        if not free:
            return
        placeable = next((s for s in PROBE_SIZES if fits(gang_size(s))), 0)
        self.largest.append(min(placeable / free, 1.0))
        shapes = set(waiting)
        if shapes:
            self.stranded.append(float(not any(fits(shape) for shape in shapes)))

    def completions(self, jobs: list[LoadedJob], work_class: str) -> list[float]:
        """Return the times from submission to end of a class."""
        return [
            self.ends[job.job_id] - job.submitted
            for job in jobs
            if job.spec.work_class == work_class and job.job_id in self.ends
        ]

    def waits(
        self, jobs: list[LoadedJob], accelerators: int, end: float
    ) -> list[float]:
        """Return the waits of gangs; those that never started waited to the end."""
        return [
            self.starts.get(job.job_id, end) - job.submitted
            for job in jobs
            if job.accelerators == accelerators
        ]
