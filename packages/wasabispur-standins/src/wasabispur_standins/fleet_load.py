"""Generate the jobs of a fleet whose callers' estimates are wrong, for experiments."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from math import exp
from random import Random

from wasabispur_core.workload.jobs.spec import JobSpec, Resources, StepSpec
from wasabispur_core.workload.policies.policy import Queue

from .simulated_owner import rack_name, simulated_queue

ACCELERATORS = (1, 2, 4, 8, 8)
"""Accelerators of one task, each as likely as the others."""

WIDTH_SPREAD = 0.8
RUN_TIME_SPREAD = 0.4
"""Sigma of the log-normal numbers of tasks and run times of a class."""

DATA_RACK_SHARE = 0.3
SAME_RACK_SHARE = 0.6
"""Shares of the jobs whose data is in one rack, and of the gangs that need one rack."""

FLOOD_ORGANISATION = "flood"
"""Name of an organisation that submits more than the others, without a guarantee."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobClass:
    """Describe the jobs of one queue.

    share is the part of all jobs, width the mean number of tasks, run_time the mean run
    time of a task in seconds, and estimate_error the largest relative error of a
    caller's estimate. checkpointing is the share of jobs that save their work.
    """

    queue: Queue
    share: float
    width: float
    demand: Resources
    run_time: float
    estimate_error: float
    gang: bool
    checkpointing: float
    accelerators: tuple[int, ...] = ACCELERATORS


JOB_CLASSES = (
    JobClass(
        queue=simulated_queue("urgent", 0, 1.5, 0.4),
        share=0.64,
        width=5.0,
        demand=Resources(cpu=7_500, memory=39_000),
        run_time=5.0,
        estimate_error=0.9,
        gang=True,
        checkpointing=0.0,
    ),
    JobClass(
        queue=simulated_queue("batch", 1, 3.0, 1.2),
        share=0.24,
        width=8.0,
        demand=Resources(cpu=26_000, memory=110_000),
        run_time=17.0,
        estimate_error=0.2,
        gang=True,
        checkpointing=0.45,
    ),
    JobClass(
        queue=simulated_queue("bulk", 2, 3.0, 3.0),
        share=0.12,
        width=39.0,
        demand=Resources(cpu=5_600, memory=29_000),
        run_time=19.0,
        estimate_error=0.2,
        gang=False,
        checkpointing=0.45,
        accelerators=(1,),
    ),
)

DEFAULT_LOAD = "mixed"
CLASSES_BY_LOAD = {
    DEFAULT_LOAD: JOB_CLASSES,
    # Batch callers whose estimates are nearly useless, and urgent jobs that are
    # shorter.
    "misjudged": tuple(
        replace(job_class, run_time=run_time, width=width, estimate_error=error)
        for job_class, run_time, width, error in zip(
            JOB_CLASSES,
            (4.5, 15.5, 17.5),
            (5.0, 7.0, 39.0),
            (0.2, 0.9, 0.5),
            strict=True,
        )
    ),
}
"""Classes of the jobs of a load, by its name."""

SMALL_SHARE = 0.5
"""Share of the mean number of tasks of its class up to which a job counts as small."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GeneratedJob:
    """Describe one job: when it arrives, and how long its tasks really take.

    Both are in seconds. small is set if it has few tasks for its class.
    """

    arrives_at: float
    spec: JobSpec
    run_time: float
    small: bool = False


def generate_jobs(
    rate: float,
    duration: float,
    organisations: int,
    random: Random,
    racks: int = 0,
    classes: Sequence[JobClass] = JOB_CLASSES,
    errors: Sequence[float] = (),
) -> list[GeneratedJob]:
    """Return the jobs that arrive within a duration, at a rate in jobs a second.

    With racks, which is their number, some of the jobs prefer one of them. errors
    replaces the largest relative errors of the callers' estimates, by class.
    """
    if errors:
        pairs = zip(classes, errors, strict=True)
        classes = tuple(replace(one, estimate_error=error) for one, error in pairs)
    jobs: list[GeneratedJob] = []
    arrives_at = random.expovariate(rate)
    while arrives_at < duration:
        jobs.append(
            _generate_job(len(jobs), arrives_at, organisations, random, classes)
        )
        arrives_at += random.expovariate(rate)
    return [_with_racks(job, racks, random) for job in jobs] if racks else jobs


def flood_jobs(
    rate: float,
    duration: float,
    random: Random,
    racks: int = 0,
    errors: Sequence[float] = (),
) -> list[GeneratedJob]:
    """Return the jobs of one more organisation, which submits them at a rate."""
    return [
        replace(
            job,
            spec=replace(
                job.spec, job_id=f"f{job.spec.job_id}", organisation=FLOOD_ORGANISATION
            ),
        )
        for job in generate_jobs(rate, duration, 1, random, racks, errors=errors)
    ]


def _with_racks(job: GeneratedJob, racks: int, random: Random) -> GeneratedJob:
    """Return the job with the data of its step in a rack, and a gang in one rack."""
    (step,) = job.spec.steps
    data_rack = rack_name(random.randrange(racks))
    step = replace(
        step,
        data_rack=data_rack if random.random() < DATA_RACK_SHARE else "",
        same_rack=step.gang and random.random() < SAME_RACK_SHARE,
    )
    return replace(job, spec=replace(job.spec, steps=(step,)))


def _generate_job(
    number: int,
    arrives_at: float,
    organisations: int,
    random: Random,
    classes: Sequence[JobClass],
) -> GeneratedJob:
    job_class = random.choices(classes, [one.share for one in classes])[0]
    run_time = job_class.run_time * _log_normal(RUN_TIME_SPREAD, random)
    error = random.uniform(-job_class.estimate_error, job_class.estimate_error)
    accelerators = random.choice(job_class.accelerators)
    step = StepSpec(
        count=max(1, round(job_class.width * _log_normal(WIDTH_SPREAD, random))),
        demand=job_class.demand + Resources(accelerators=accelerators),
        estimate=run_time * (1 + error),
        gang=job_class.gang,
        checkpointing=random.random() < job_class.checkpointing,
    )
    # A few organisations send most jobs.
    organisation = min(random.randrange(organisations), random.randrange(organisations))
    spec = JobSpec(
        job_id=f"{number:016x}",
        queue=job_class.queue.name,
        organisation=f"o{organisation}",
        payload="x" * 200,
        accepted_at=arrives_at,
        steps=(step,),
    )
    small = step.count <= SMALL_SHARE * job_class.width
    return GeneratedJob(
        arrives_at=arrives_at, spec=spec, run_time=run_time, small=small
    )


def _log_normal(spread: float, random: Random) -> float:
    """Return a log-normal factor with a mean of one."""
    return exp(random.gauss(0.0, spread) - spread * spread / 2)
