"""Measure the longest time for which one odd job occupies the owner's event loop."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass

import click

from wasabispur_core.workload.jobs.spec import (
    JobSpec,
    Resources,
    STEPS_LIMIT,
    StepSpec,
    TASKS_LIMIT,
)
from wasabispur_core.workload.jobs.unit import ACTIVE
from wasabispur_core.workload.owner.fleet_message import (
    FleetTick,
    JobArrived,
    PlanningPassDue,
)
from wasabispur_core.workload.workers.worker import EndKind

from .simulated_owner import simulated_queue, SimulatedOwner

WORKERS = 40
RACK_SIZE = 6
LIGHT = Resources(cpu=10)
ENDS = 40
"""Ends of runs that are reported one after the other."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OddJob:
    """Describe a job of an odd shape."""

    name: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0


def light_step(count: int, after: Iterable[int] = (), gang: bool = False) -> StepSpec:
    """Return a step of tasks that need little."""
    return StepSpec(count=count, demand=LIGHT, after=tuple(after), gang=gang)


ODD_JOBS = (
    OddJob(name="one task", steps=(light_step(1),)),
    OddJob(
        name=f"{STEPS_LIMIT} steps, each after all earlier ones",
        steps=tuple(light_step(1, range(number)) for number in range(STEPS_LIMIT)),
    ),
    OddJob(
        name=f"{STEPS_LIMIT} steps of {TASKS_LIMIT} tasks",
        steps=tuple(light_step(TASKS_LIMIT) for _ in range(STEPS_LIMIT)),
    ),
    OddJob(name="a gang of 1,000", steps=(light_step(1_000, gang=True),)),
    OddJob(
        name=f"a gang of {TASKS_LIMIT}", steps=(light_step(TASKS_LIMIT, gang=True),)
    ),
    OddJob(
        name="1,000,000 repeats, all due", steps=(light_step(1),), repeats=1_000_000
    ),
)


class OddJobOwner(SimulatedOwner):
    """Represent an owner with an idle fleet that meets one odd job."""

    def __init__(self) -> None:
        super().__init__(now=1000.0, rack_size=RACK_SIZE)
        self.own([simulated_queue("batch", 1, 2.0)], (), WORKERS)
        self.longest = 0.0

    def measure(self, job: OddJob) -> float:
        """Return the longest CPU seconds of one message, from arrival to some ends."""
        spec = JobSpec(
            job_id=f"{1:016x}",
            queue="batch",
            payload="x",
            steps=job.steps,
            repeats=job.repeats,
            accepted_at=self.now,
        )
        self.timed(JobArrived(spec=spec))
        for _ in range(ENDS):
            self.now += 0.05
            self.confirm_workers()
            self.state.capacity_changed = True
            self.timed(PlanningPassDue())
            self.timed(FleetTick())
            units = self.state.jobs[spec.job_id].units.values()
            active = next((unit for unit in units if unit.state == ACTIVE), None)
            if active is not None and active.size == 1:
                self.end(active, EndKind.DONE)
        return self.longest

    def timed(self, message: object) -> None:
        """Let the scheduler handle a message, and note how long it took."""
        begun = time.process_time()
        self.decide(message)  # type: ignore[arg-type]
        self.longest = max(self.longest, time.process_time() - begun)


def print_odd_jobs() -> None:
    """Print the longest CPU time of one message in ms, for each odd job."""
    click.echo("| job | longest message, ms |")
    click.echo("|---|---|")
    for job in ODD_JOBS:
        longest = OddJobOwner().measure(job)
        click.echo(f"| {job.name} | {1000 * longest:.1f} |")
