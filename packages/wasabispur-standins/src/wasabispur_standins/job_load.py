"""Generate the jobs and the fleets of the job benchmark, a development tool."""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from random import Random

from wasabispur_core.jobs.fleet import Worker
from wasabispur_core.jobs.guarantee import Adjacency, Guarantee, GuaranteedShape
from wasabispur_core.jobs.job_record import JobSpec

DATA_CENTRE = "dc1"

MEDIAN_RUN_TIME = 1800.0
"""Median in seconds of the log-normal run times."""

RUN_TIME_SPREAD = 0.9
"""Sigma of the log-normal run times."""

ESTIMATE_ERROR = 10.0
"""Largest ratio between a declared and a real run time, in either direction."""

ORGANISATIONS = (("A", 0.6), ("B", 0.25), ("C", 0.1), ("D", 0.05))
"""Organisations and their shares of all jobs."""

URGENT_SHARE = 0.1
"""Share of all jobs that are urgent."""

SIZES = ((1, 0.45), (2, 0.15), (4, 0.15), (8, 0.13), (16, 0.07), (32, 0.03), (64, 0.02))
"""Sizes of jobs in accelerators, with the share of jobs of each size."""

TASK_ACCELERATORS = 8
"""Maximum accelerators of one task; larger jobs are gangs of such tasks."""


@dataclass(frozen=True, slots=True)
class FleetModel:
    """Describe a fleet and its load.

    Workers lists the accelerators of each worker. Load is the offered work as a share
    of all accelerators.
    """

    name: str
    workers: tuple[int, ...]
    load: float
    guarantees: tuple[Guarantee, ...]

    @property
    def accelerators(self) -> int:
        """Return the sum of the accelerators of all workers."""
        return sum(self.workers)


@dataclass(frozen=True, slots=True)
class GeneratedJob:
    """Describe one job of the load; times are in seconds of simulated time."""

    job_id: str
    spec: JobSpec
    submitted: float
    run_time: float

    @property
    def accelerators(self) -> int:
        """Return the sum of the accelerators of all tasks."""
        return self.spec.tasks * self.spec.accelerators


def guarantee(organisation: str, blocks: int, adjacency: Adjacency) -> Guarantee:
    """Return a guarantee of some blocks of eight accelerators each."""
    shape = GuaranteedShape(
        name=f"{blocks}x8",
        data_centre=DATA_CENTRE,
        blocks=blocks,
        block_size=8,
        adjacency=adjacency,
    )
    return Guarantee(organisation=organisation, shape=shape)


def fleets() -> tuple[FleetModel, ...]:
    """Return fleets for both current deployments and one data centre at design scale.

    At design scale, most workers have one accelerator or none.
    """
    guarantees = (
        guarantee("B", 2, Adjacency.RACK),
        guarantee("C", 1, Adjacency.WORKER),
    )
    design = (8,) * 12 + (1,) * 46 + (0,) * 50
    return (
        FleetModel("Peachtree", (8,) * 10, 0.9, guarantees),
        FleetModel("Prairie", (8,) * 10, 1.1, guarantees),
        FleetModel("design scale, 1 of 6", design, 0.9, guarantees),
    )


def worker_list(accelerators: tuple[int, ...]) -> list[Worker]:
    """Return the workers of a fleet, three in each rack."""
    return [
        Worker(
            worker_id=f"w{number:04}",
            region="r",
            data_centre=DATA_CENTRE,
            rack=f"rack{number // 3:04}",
            accelerators=count,
            cores=32,
        )
        for number, count in enumerate(accelerators)
    ]


def generate_jobs(
    model: FleetModel, random: Random, seconds: float, limit: int = 100_000
) -> list[GeneratedJob]:
    """Return at most limit jobs with random arrivals in the given seconds.

    The arrival rate is set so that the expected work equals the load of the model.
    Sizes that don't fit on the fleet are left out.
    """
    capacity = sum(count // TASK_ACCELERATORS for count in model.workers)
    sizes = [pair for pair in SIZES if pair[0] <= TASK_ACCELERATORS * capacity]
    mean_run = MEDIAN_RUN_TIME * pow(2.718281828, RUN_TIME_SPREAD**2 / 2)
    total = sum(share for _, share in sizes)
    mean_size = sum(size * share for size, share in sizes) / total
    rate = model.load * model.accelerators / (mean_run * mean_size)
    jobs: list[GeneratedJob] = []
    now = random.expovariate(rate)
    while now < seconds and len(jobs) < limit:
        jobs.append(_job(f"j{len(jobs):05}", now, sizes, random))
        now += random.expovariate(rate)
    return jobs


def _job(
    job_id: str, now: float, sizes: list[tuple[int, float]], random: Random
) -> GeneratedJob:
    size = random.choices([s for s, _ in sizes], [share for _, share in sizes])[0]
    run_time = random.lognormvariate(log(MEDIAN_RUN_TIME), RUN_TIME_SPREAD)
    error = ESTIMATE_ERROR ** random.uniform(-1, 1)
    names = [name for name, _ in ORGANISATIONS]
    shares = [share for _, share in ORGANISATIONS]
    spec = JobSpec(
        organisation=random.choices(names, shares)[0],
        work_class="urgent" if random.random() < URGENT_SHARE else "deferrable",
        command="{}",
        tasks=max(size // TASK_ACCELERATORS, 1),
        accelerators=min(size, TASK_ACCELERATORS),
        estimate=run_time * error,
    )
    return GeneratedJob(job_id, spec, now, run_time)
