"""Run the job benchmark: the product's scheduler against simple schedulers."""

from __future__ import annotations

import time
from math import inf
from random import Random
from unittest.mock import patch

import click

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.jobs import job_placement
from wasabispur_core.jobs.fleet import WorkerAttached
from wasabispur_core.jobs.job import AgentClock, decide, SchedulerState
from wasabispur_core.jobs.job_action import job_chart
from wasabispur_core.jobs.job_queue import JobsRead
from wasabispur_core.jobs.job_record import JobRecord
from wasabispur_core.sharding.ownership import ShardLease

from .job_baseline import BaselineScheduler, best_fit, first_fit
from .job_load import (
    DATA_CENTRE,
    FleetModel,
    fleets,
    generate_jobs,
    GeneratedJob,
    worker_list,
)
from .job_measure import GANG_SIZES, Measures, percentile
from .job_model import JobModel, RECLAIM_BOUND

SCALE_WORKERS = (10, 40, 160, 650)
"""Fleet sizes in workers for the cost of a scheduling decision."""

SCALE_JOBS = 200
MINUTE = 60.0

Row = tuple[str, list[str]]


@click.command("jobs")
@click.option("--seed", type=int, required=True)
@click.option(
    "--hours",
    type=click.FloatRange(0.1, 72),
    default=12.0,
    show_default=True,
    help="Simulated hours in which jobs arrive; the run lasts twice as long.",
)
def jobs_bench(seed: int, hours: float) -> None:
    """Compare the job scheduler with simple schedulers under the same load."""
    for model in fleets():
        compare(model, seed, hours * 3600)
    click.echo("\nCost of one scheduling decision, CPU time in ms")
    print_rows(["workers", "p50", "p99"], decision_cost(seed))


def compare(model: FleetModel, seed: int, window: float) -> None:
    """Run the load on one fleet under each scheduler and print a table of the measures.

    Window is the time in seconds in which jobs arrive.
    """
    jobs = generate_jobs(model, Random(seed), window)
    runs = [
        JobModel(model, jobs, seed).run(window, 2 * window),
        BaselineScheduler("first fit", first_fit, model, jobs).run(window, 2 * window),
        BaselineScheduler("best fit", best_fit, model, jobs).run(window, 2 * window),
    ]
    click.echo(
        f"\n{model.name}: {len(model.workers)} workers, {model.accelerators} "
        f"accelerators, {len(jobs)} jobs in {window / 3600:g} h, load {model.load:g}"
    )
    rows = measure_rows(jobs, runs, 2 * window)
    print_rows(["measure", *(run.name for run in runs)], rows)


def measure_rows(
    jobs: list[GeneratedJob], runs: list[Measures], end: float
) -> list[Row]:
    """Return the rows of the table; a gang that never started waited until the end."""
    rows: list[Row] = []
    for work_class in ("urgent", "deferrable"):
        for share in (0.5, 0.95):
            values = [percentile(r.completions(jobs, work_class), share) for r in runs]
            title = f"completion of {work_class}, p{share * 100:g}, min"
            rows.append((title, [f"{value / MINUTE:.1f}" for value in values]))
    for size in GANG_SIZES:
        values = [percentile(r.waits(jobs, size, end), 0.95) for r in runs]
        count = sum(job.accelerators == size for job in jobs)
        title = f"wait of gangs of {size}, p95 of {count}, min"
        rows.append((title, [f"{value / MINUTE:.1f}" for value in values]))
    rows.append(("utilisation, %", [f"{100 * mean(r.utilisation):.1f}" for r in runs]))
    rows.append(
        (
            "largest placeable gang / free, mean",
            [f"{mean(r.largest_gang_shares):.3f}" for r in runs],
        )
    )
    rows.append(
        (
            "samples whose free fit no waiting shape, %",
            [f"{100 * mean(r.stranded):.1f}" for r in runs],
        )
    )
    rows.append(("jobs that ended", [str(len(r.ends)) for r in runs]))
    return rows + guarantee_rows(runs)


def guarantee_rows(runs: list[Measures]) -> list[Row]:
    """Return the rows on guarantees, which the simple schedulers don't support."""
    return [
        ("reclaims", [str(len(r.reclaims)) for r in runs]),
        ("reclaim time, p95, s", [f"{percentile(r.reclaims, 0.95):.1f}" for r in runs]),
        ("reclaim time, max, s", [f"{max(r.reclaims, default=0):.1f}" for r in runs]),
        (f"reclaims over {RECLAIM_BOUND:g} s", [str(r.late_reclaims) for r in runs]),
        ("preemptions", [str(r.preemptions) for r in runs]),
        (
            "work lost to preemption, accelerator hours",
            [f"{r.lost_work / 3600:.1f}" for r in runs],
        ),
        (
            "one decision, p99, ms of CPU time",
            [
                f"{1000 * percentile(r.decisions, 0.99):.2f}" if r.decisions else "-"
                for r in runs
            ],
        ),
    ]


def decision_cost(seed: int) -> list[Row]:
    """Return the CPU milliseconds of one placement for each size of fleet."""
    rows: list[Row] = []
    for count in SCALE_WORKERS:
        random = Random(seed)
        accelerators = tuple(random.choice((0, 0, 1, 1, 8)) for _ in range(count))
        model = FleetModel("scale", accelerators, 1.0, ())
        jobs = generate_jobs(model, random, inf, SCALE_JOBS)
        times = [1000 * seconds for seconds in time_decisions(model, jobs)]
        cells = [f"{percentile(times, 0.5):.3f}", f"{percentile(times, 0.99):.3f}"]
        rows.append((str(count), cells))
    return rows


def time_decisions(model: FleetModel, jobs: list[GeneratedJob]) -> list[float]:
    """Return the CPU seconds of each call that places one job."""
    lease = ShardLease(epoch=1, held_until=inf)
    scheduler = SchedulerState(
        DATA_CENTRE, job_chart(ChartCatalogue()), lease, owning=True
    )
    for worker in worker_list(model.workers):
        decide(WorkerAttached(worker=worker, clock=0.0), scheduler, 0.0)
    scheduler.clocks = dict.fromkeys(scheduler.fleet.workers, AgentClock(0.0, 0.0))
    times: list[float] = []
    original = job_placement.place_job

    def timed(*arguments: object) -> object:
        started = time.process_time()
        result = original(*arguments)  # type: ignore[arg-type]
        times.append(time.process_time() - started)
        return result

    with patch.object(job_placement, "place_job", timed):
        for number, job in enumerate(jobs):
            record = JobRecord(
                job_id=job.job_id, shard=DATA_CENTRE, spec=job.spec, sequence=number
            )
            reading = JobsRead(epoch=1, records=(record,), cancelled=())
            decide(reading, scheduler, 1.0 + number * 0.001)
    return times


def mean(values: list[float]) -> float:
    """Return the mean, or 0 if there are no values."""
    return sum(values) / len(values) if values else 0.0


def print_rows(heads: list[str], rows: list[Row]) -> None:
    """Print a Markdown table."""
    click.echo(f"| {' | '.join(heads)} |")
    click.echo("|---" * len(heads) + "|")
    for title, cells in rows:
        click.echo(f"| {title} | {' | '.join(cells)} |")
