"""Define the command that runs loads against the shard owner's scheduler."""

from __future__ import annotations

import json

import click
from loguru import logger

from wasabispur_core.workload.run_times.run_time import EstimateUse

from .faulty_fleet import play_faulty_load
from .faulty_worker import FaultCost, FaultKind, FaultPlan
from .fleet_experiment import play_load
from .fleet_forecast import ForecastErrors
from .fleet_load import CLASSES_BY_LOAD, DEFAULT_LOAD, JOB_CLASSES
from .fleet_result import add_results, QueueResult
from .fleet_speed import SLOW_WORKER_FACTOR, SpeedErrors, SpeedPlan
from .stop_waste import CAUSES

HEADER = (
    f"{'queue':8} {'jobs':>6} {'in time':>8} {'late':>6} {'too late':>8} {'rejected':>8} {'small':>6} "
    f"{'wait p50':>9} {'wait p95':>9} {'stopped':>8} {'again':>6} "
    + "".join(f"{cause:>8}" for cause in CAUSES)
    + f" {'remote':>7} {'lost':>5} {'longest':>8}"
)
NOTE = (
    "small is the share in time of jobs with few tasks, waits are in seconds;\n"
    "again counts units that were stopped more than once; work, stop, restore and idle\n"
    "are wasted core-seconds (an accelerator counts as 8 cores): work that was not\n"
    "saved, stops, restored checkpoints, and freed room until the beneficiary starts;\n"
    "remote runs are away from their rack; lost jobs ran nothing for 3 s or more beside\n"
    "enough idle workers, longest is the longest such time in seconds"
)

FORECAST_HEADER = (
    f"{'queue':8} {'finished':>8} {'jobs':>6} {'learned p50':>11} {'learned p90':>11} "
    f"{'declared p50':>12} {'declared p90':>12}  (factors between expected and actual)"
)
SPEED_HEADER = "".join(
    f"{name:>18}"
    for name in ("ended runs", "workers", "mean error", "with samples", "their error")
)


@click.command("fleet")
@click.option("--workers", type=click.IntRange(1, 1000), default=77, show_default=True)
@click.option(
    "--organisations", type=click.IntRange(1, 100), default=10, show_default=True
)
@click.option(
    "--rate",
    type=click.FloatRange(0.01, 100),
    default=2.0,
    show_default=True,
    help="Jobs a second.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 3600),
    default=60.0,
    show_default=True,
    help="Simulated time of each load.",
)
@click.option(
    "--rack-size",
    type=click.IntRange(0, 1000),
    default=0,
    show_default=True,
    help="Workers a rack, with jobs that prefer one; 0 for jobs without racks.",
)
@click.option(
    "--load",
    "load_name",
    type=click.Choice(list(CLASSES_BY_LOAD)),
    default=DEFAULT_LOAD,
    show_default=True,
    help="Classes of the jobs.",
)
@click.option(
    "--run-times",
    type=click.Choice([use.value for use in EstimateUse]),
    default=EstimateUse.ALL.value,
    show_default=True,
    help="What the owner computes from learned run times.",
)
@click.option(
    "--errors",
    type=click.FloatRange(0, 0.99),
    nargs=len(JOB_CLASSES),
    help="Largest relative errors of callers' estimates, by queue.",
)
@click.option(
    "--flood",
    type=click.FloatRange(0, 100),
    default=0.0,
    show_default=True,
    help="Jobs a second of one more organisation, in rows of their own.",
)
@click.option(
    "--admission", is_flag=True, help="Reject jobs that would lose all value."
)
@click.option(
    "--fair-shares", is_flag=True, help="Order waiting units by organisations' shares."
)
@click.option(
    "--forecasts", is_flag=True, help="Print how far off learned run times are."
)
@click.option(
    "--worker-speeds/--no-worker-speeds",
    default=True,
    show_default=True,
    help="Learn how fast workers are.",
)
@click.option(
    "--slow-factor",
    type=click.FloatRange(0.25, 4),
    default=SLOW_WORKER_FACTOR,
    show_default=True,
    help="Factor on the run times of every third worker.",
)
@click.option(
    "--task-spread",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Standard deviation of the logarithms of the run times of a job's units.",
)
@click.option(
    "--lockstep", is_flag=True, help="List the same progress of all members of a gang."
)
@click.option(
    "--speed-errors", is_flag=True, help="Print how far off the learned speeds are."
)
@click.option("--seeds", type=click.IntRange(1, 100), default=4, show_default=True)
@click.option(
    "--worker-fault",
    type=click.Choice([kind.value for kind in FaultKind]),
    help="What faulty workers do; without it, no worker is faulty.",
)
@click.option(
    "--faulty-workers", type=click.IntRange(1, 1000), default=4, show_default=True
)
@click.option(
    "--health-checks", is_flag=True, help="Report the workers' health to the owner."
)
@click.option(
    "--output", type=click.Choice(["table", "json"]), default="table", show_default=True
)
def fleet_experiment(
    workers: int,
    organisations: int,
    rate: float,
    seconds: float,
    rack_size: int,
    load_name: str,
    run_times: str,
    errors: tuple[float, ...] | None,
    flood: float,
    admission: bool,
    fair_shares: bool,
    forecasts: bool,
    worker_speeds: bool,
    slow_factor: float,
    task_spread: float,
    lockstep: bool,
    speed_errors: bool,
    seeds: int,
    worker_fault: str | None,
    faulty_workers: int,
    health_checks: bool,
    output: str,
) -> None:
    """Run loads with wrong estimates, and print what callers of each queue get."""
    logger.remove()
    unsupported = errors or forecasts or flood or admission or fair_shares
    if (worker_fault or health_checks) and unsupported:
        raise click.UsageError(
            "faulty workers exclude errors, forecasts, floods, admission and fair shares"
        )
    plan = FaultPlan(
        FaultKind(worker_fault) if worker_fault else None, faulty_workers, health_checks
    )
    cost, forecast_errors = FaultCost(), ForecastErrors()
    speed_plan = SpeedPlan(
        learned=worker_speeds,
        slow_factor=slow_factor,
        task_spread=task_spread,
        lockstep=lockstep,
    )
    errors_of_speeds = SpeedErrors(speed_plan)
    played: list[dict[str, QueueResult]] = []
    for seed in range(1, seeds + 1):
        load = (workers, organisations, rate, seconds, seed, rack_size)
        if worker_fault or health_checks:
            callers, fault_cost = play_faulty_load(*load, plan)
            cost.add(fault_cost)
        else:
            use = EstimateUse(run_times)
            callers = play_load(
                *load,
                load_name,
                use,
                errors or (),
                forecast_errors,
                flood,
                admission,
                fair_shares,
                speed_plan,
                errors_of_speeds,
            )
        played.append(callers)
    results = add_results(played)
    if output == "json":
        rows: dict[str, object] = {
            queue: _row(result) for queue, result in results.items()
        }
        if worker_fault:
            rows["faulty workers"] = _fault_row(cost)
        if forecasts:
            rows["forecasts"] = forecast_errors.rows()
        if speed_errors:
            rows["speeds"] = errors_of_speeds.rows()
        click.echo(json.dumps(rows, indent=2))
        return
    click.echo(HEADER)
    for queue, result in results.items():
        click.echo(_table_line(queue, result))
    click.echo(NOTE)
    if worker_fault:
        numbers = ", ".join(
            f"{key} {value:.2f}" for key, value in _fault_row(cost).items()
        )
        click.echo(f"on faulty workers, per worker and minute: {numbers}")
    if forecasts:
        click.echo(FORECAST_HEADER)
        for row in forecast_errors.rows():
            click.echo(_forecast_line(row))
    if speed_errors:
        click.echo(SPEED_HEADER)
        for speeds in errors_of_speeds.rows():
            click.echo("".join(f"{value:18.3f}" for value in speeds.values()))


def _fault_row(cost: FaultCost) -> dict[str, float]:
    return {
        "failed_units": cost.per_minute(cost.failed),
        "broken_gangs": cost.per_minute(cost.broken),
        "lost_core_seconds": cost.per_minute(cost.lost_work),
    }


def _forecast_line(row: dict[str, object]) -> str:
    return (
        f"{row['queue']:8} {row['finished_runs']:>8} {row['jobs']:>6} "
        f"{row['learned_p50']:11.2f} {row['learned_p90']:11.2f} "
        f"{row['declared_p50']:12.2f} {row['declared_p90']:12.2f}"
    )


def _row(result: QueueResult) -> dict[str, float]:
    return {
        "jobs": result.owed,
        "in_time": result.share(result.in_time),
        "late": result.share(result.late),
        "too_late": result.share(result.too_late),
        "rejected": result.share(result.rejected),
        "wait_p50_s": result.wait(0.5),
        "wait_p95_s": result.wait(0.95),
        "stopped": result.preemptions,
        "stopped_again": result.stopped_again,
        "small_in_time": result.small_in_time / max(result.small, 1),
        **{f"wasted_{cause}_core_seconds": result.wasted[cause] for cause in CAUSES},
        "remote_runs": result.remote_runs,
        "lost_jobs": result.lost,
        "longest_idle_s": result.longest_idle,
    }


def _table_line(queue: str, result: QueueResult) -> str:
    return (
        f"{queue:8} {result.owed:6} {result.share(result.in_time):8.3f} "
        f"{result.share(result.late):6.3f} {result.share(result.too_late):8.3f} "
        f"{result.share(result.rejected):8.3f} "
        f"{result.small_in_time / max(result.small, 1):6.3f} "
        f"{result.wait(0.5):9.2f} {result.wait(0.95):9.2f} "
        f"{result.preemptions:8} {result.stopped_again:6} "
        + "".join(f"{result.wasted[cause]:8.0f}" for cause in CAUSES)
        + f" {result.remote_runs:7} {result.lost:5} {result.longest_idle:8.1f}"
    )
