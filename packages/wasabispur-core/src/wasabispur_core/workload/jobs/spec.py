"""Define the specification of a job: its steps and their identical tasks.

An entry instance (a front-end process) accepts the specification from a caller, and the
entry instance that owns the shard schedules the tasks on workers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple

STEPS_LIMIT = 100
"""Maximum number of steps of a job."""

TASKS_LIMIT = 10_000
"""Maximum number of tasks of a step."""

JOB_ID_PATTERN = re.compile(r"[0-9A-Za-z_-]{1,32}")
"""Ids of jobs. They are parts of the keys of rows, and of orders of a bounded size."""

LASTING_TASKS_LIMIT = 10_000
"""Maximum number of tasks of a job that run until it is cancelled, all at once."""

PAYLOAD_LIMIT_BYTES = 32 * 1024
"""Maximum size of a payload, encoded as JSON; half of an orders row."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """Describe an amount of resources.

    cpu is in thousandths of a core, memory in MB and accelerators in devices.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            cpu=self.cpu + other.cpu,
            memory=self.memory + other.memory,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            cpu=self.cpu - other.cpu,
            memory=self.memory - other.memory,
            accelerators=self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return these resources for a number of tasks."""
        return Resources(
            cpu=count * self.cpu,
            memory=count * self.memory,
            accelerators=count * self.accelerators,
        )

    def fits(self, available: Resources) -> bool:
        """Return whether the available resources cover these ones."""
        return (
            self.cpu <= available.cpu
            and self.memory <= available.memory
            and self.accelerators <= available.accelerators
        )

    def count_in(self, available: Resources, limit: int) -> int:
        """Return how many times the available resources cover these, up to limit."""
        count = limit
        if self.cpu:
            count = min(count, available.cpu // self.cpu)
        if self.memory:
            count = min(count, available.memory // self.memory)
        if self.accelerators:
            count = min(count, available.accelerators // self.accelerators)
        return max(count, 0) if self.fits(available) else 0

    @property
    def weight(self) -> float:
        """Return the size in cores; one accelerator counts as eight cores."""
        return self.cpu / 1000 + 8 * self.accelerators


NO_RESOURCES = Resources()


def used_share(free: Resources, capacity: Resources) -> float:
    """Return the used share of the resource of which most is used."""
    pairs = (
        (free.cpu, capacity.cpu),
        (free.memory, capacity.memory),
        (free.accelerators, capacity.accelerators),
    )
    return max((1 - left / total for left, total in pairs if total), default=0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class StepSpec:
    """Describe one step of a job.

    demand is what one task needs, and estimate its expected run time in seconds; zero
    means unknown. after contains the indices of the steps that have to complete first.
    label is a label that the workers must have, and data_rack the rack of the input
    data, which is preferred; both may be empty. tasks_per_worker limits the tasks of
    the step on one worker if it is not zero. A long_running step has no end of its own,
    and a filling step only uses cpu that other tasks leave idle. allows_copies, image,
    latency_target (seconds) and max_unavailable are stored, but scheduling does not use
    them.
    """

    count: int
    demand: Resources
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    tasks_per_worker: int = 0
    allows_copies: bool = False
    long_running: bool = False
    image: str = ""
    filling: bool = False
    latency_target: float = 0.0
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Return the resources that one task reserves; a filling one has no cpu."""
        if not self.filling:
            return self.demand
        demand = self.demand
        return Resources(memory=demand.memory, accelerators=demand.accelerators)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueTerms:
    """Describe what a queue grants to its jobs.

    service names the workers that run them, and priority 0 is the most urgent. The
    objective of a job is its estimated duration times stretch plus target, which is in
    seconds. max_attempts limits the attempts of a task.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """Describe an accepted job.

    terms are those of its queue when it was accepted; rows of versions without them
    have none. accepted_at is on the store's clock and start_at on the wall clock, both
    in seconds. repeats is the number of occurrences, repeat_interval seconds apart. If
    repeats is zero, the job runs once, starts immediately and ignores start_at.
    """

    job_id: str
    queue: str = ""
    organisation: str = ""
    payload: str = ""
    steps: tuple[StepSpec, ...] = ()
    accepted_at: float = 0.0
    repeats: int = 0
    repeat_interval: float = 0.0
    start_at: float = 0.0
    terms: QueueTerms | None = None


class TaskId(NamedTuple):
    """Identify one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"

    @classmethod
    def parse(cls, text: str) -> TaskId:
        """Parse an id from its text form; raise ValueError if it is malformed."""
        job_id, occurrence, step, position = text.split(".")
        return cls(job_id, int(occurrence), int(step), int(position))
