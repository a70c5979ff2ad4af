"""Count what callers of a simulated fleet get."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from .idle_job import LOST_AFTER


@dataclass(slots=True)
class QueueResult:
    """Count what the callers of one queue got.

    wasted contains the core-seconds that stops wasted by cause, and stopped_again
    counts the units that were stopped more than once. small counts the jobs with half
    of the queue's mean number of tasks or fewer, and small_in_time those in time.
    idle_times contains for each job the longest time in seconds for which it had
    nothing running beside enough idle workers. remote_runs counts the runs away from
    the rack that they prefer.
    """

    in_time: int = 0
    late: int = 0
    too_late: int = 0
    preemptions: int = 0
    wasted: Counter[str] = field(default_factory=Counter)
    stopped_again: int = 0
    small: int = 0
    small_in_time: int = 0
    waits: list[float] = field(default_factory=list)
    idle_times: dict[str, float] = field(default_factory=dict)
    remote_runs: int = 0
    rejected: int = 0

    @property
    def owed(self) -> int:
        """Return the number of jobs, with those that were not accepted."""
        return self.in_time + self.late + self.too_late + self.rejected

    def share(self, count: int) -> float:
        """Return a number of jobs as a share of all jobs."""
        return count / self.owed if self.owed else 0.0

    def wait(self, share: float) -> float:
        """Return the seconds within which a share of the units started."""
        waits = sorted(self.waits)
        return waits[min(int(len(waits) * share), len(waits) - 1)] if waits else 0.0

    @property
    def lost(self) -> int:
        """Return the number of jobs that had nothing running for too long."""
        return sum(time >= LOST_AFTER for time in self.idle_times.values())

    @property
    def longest_idle(self) -> float:
        """Return the longest time in seconds for which a job had nothing running."""
        return max(self.idle_times.values(), default=0.0)

    def add(self, other: QueueResult) -> None:
        """Add the result of another load."""
        self.in_time += other.in_time
        self.late += other.late
        self.too_late += other.too_late
        self.rejected += other.rejected
        self.preemptions += other.preemptions
        self.wasted.update(other.wasted)
        self.stopped_again += other.stopped_again
        self.small += other.small
        self.small_in_time += other.small_in_time
        self.waits += other.waits
        self.remote_runs += other.remote_runs
        for job_id, time in other.idle_times.items():
            self.idle_times[f"{len(self.idle_times)}:{job_id}"] = time


def add_results(
    results: Sequence[dict[str, QueueResult]],
) -> dict[str, QueueResult]:
    """Return the sum of the results of several loads, by queue."""
    total: dict[str, QueueResult] = {}
    for result in results:
        for queue, one in result.items():
            total.setdefault(queue, QueueResult()).add(one)
    return total
