"""Define what a caller asks for: a job of steps, each of equal tasks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """Hold cpu in thousandths of a core, memory in MB and accelerators."""

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

    def fits(self, available: Resources) -> bool:
        """Return whether the room holds these resources."""
        return (
            self.cpu <= available.cpu
            and self.memory <= available.memory
            and self.accelerators <= available.accelerators
        )

    @property
    def weight(self) -> float:
        """Return the size in cores, an accelerator counting as eight."""
        return self.cpu / 1000 + 8 * self.accelerators


NO_RESOURCES = Resources()


@dataclass(frozen=True, slots=True, kw_only=True)
class StepSpec:
    """Describe one step; times are in seconds, empty texts mean no constraint."""

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


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """Describe an accepted job.

    accepted_at is on the store's clock and start_at on the wall clock, both in
    seconds; repeats is zero for a job that runs once, at once.
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
        """Return the id in a text; raise ValueError."""
        job_id, occurrence, step, position = text.split(".")
        return cls(job_id, int(occurrence), int(step), int(position))
