"""Simulate first-fit and best-fit schedulers, the baselines of the job benchmark."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wasabispur_core.jobs.placement import GangSize
from wasabispur_core.message import Message
from wasabispur_core.timer import FakeTimerService

from .job_load import FleetModel, GeneratedJob
from .job_measure import Measures

SAMPLE_INTERVAL = 60.0
"""Seconds of simulated time between two samples."""

START_DELAY = 0.015
"""Seconds of simulated time from the placement of a gang to its start."""

WorkerRanking = Callable[[dict[int, int], int], list[int]]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Submitted(Message):
    """Report that a job was submitted."""

    job: GeneratedJob


@dataclass(frozen=True, slots=True, kw_only=True)
class _Ended(Message):
    """Report that a job ended and released its accelerators."""

    job: GeneratedJob
    workers: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _SampleDue(Message):
    """Report that the next sample is due."""


def first_fit(free: dict[int, int], accelerators: int) -> list[int]:
    """Return the workers with enough free accelerators, by number."""
    return [worker for worker, count in free.items() if count >= accelerators]


def best_fit(free: dict[int, int], accelerators: int) -> list[int]:
    """Return the workers with enough free accelerators, the fullest first."""
    fitting = first_fit(free, accelerators)
    return sorted(fitting, key=lambda worker: free[worker])


class BaselineScheduler:
    """Simulate one run of a scheduler without blocks, guarantees or reservations.

    The queue is in the order of submission. A job that doesn't fit stays queued and
    doesn't hold up later jobs.
    """

    def __init__(
        self,
        name: str,
        ranking: WorkerRanking,
        model: FleetModel,
        jobs: list[GeneratedJob],
    ) -> None:
        self.ranking = ranking
        self.jobs = jobs
        self.timers = FakeTimerService()
        self.free = dict(enumerate(model.workers))
        self.queue: list[GeneratedJob] = []
        self.measures = Measures(name, model.accelerators)
        self.window = 0.0

    def run(self, window: float, end: float) -> Measures:
        """Submit the jobs, advance the fake time to the end and return the measures.

        Samples are taken until window; both times are in seconds.
        """
        self.window = window
        for job in self.jobs:
            self.timers.subscribe(job.submitted, self.receive, _Submitted(job=job))
        self.timers.subscribe(0.0, self.receive, _SampleDue())
        self.timers.advance(end)
        return self.measures

    def receive(self, message: Message) -> None:
        """Apply one event, then try to place the queued jobs."""
        match message:
            case _Submitted():
                self.queue.append(message.job)
            case _Ended():
                self.measures.ends[message.job.job_id] = self.timers.now()
                for worker in message.workers:
                    self.free[worker] += message.job.spec.accelerators
            case _SampleDue():
                self.sample()
                return
        self.queue = [job for job in self.queue if not self.place(job)]

    def choose(self, free: dict[int, int], size: GangSize) -> list[int] | None:
        """Return the worker of each task, or None if the whole gang doesn't fit."""
        chosen: list[int] = []
        left = dict(free)
        for worker in self.ranking(free, size.accelerators):
            while left[worker] >= size.accelerators and len(chosen) < size.tasks:
                left[worker] -= size.accelerators
                chosen.append(worker)
        return chosen if len(chosen) == size.tasks else None

    def place(self, job: GeneratedJob) -> bool:
        """Start a job if it fits; return whether it did."""
        workers = self.choose(self.free, job.spec.size)
        if workers is None:
            return False
        for worker in workers:
            self.free[worker] -= job.spec.accelerators
        self.measures.starts[job.job_id] = self.timers.now() + START_DELAY
        ended = _Ended(job=job, workers=tuple(workers))
        self.timers.subscribe(START_DELAY + job.run_time, self.receive, ended)
        return True

    def sample(self) -> None:
        """Record utilisation and fragmentation, and schedule the next sample."""
        self.measures.sample(
            sum(self.free.values()),
            lambda size: self.choose(self.free, size) is not None,
            [job.spec.size for job in self.queue],
        )
        if self.timers.now() + SAMPLE_INTERVAL < self.window:
            self.timers.subscribe(SAMPLE_INTERVAL, self.receive, _SampleDue())
