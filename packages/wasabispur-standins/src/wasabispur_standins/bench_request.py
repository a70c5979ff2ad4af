"""Run the request benchmark and print its results as Markdown tables."""

from __future__ import annotations

import time

import click

from wasabispur_core.requests.outcome import Outcome

from .bench_case import CaseResult, CASES, run_case
from .bench_policy import POLICIES
from .bench_world import RequestRecord, World

COST_REQUESTS = 300
"""Requests whose CPU time is averaged for one cell of the cost table."""

COST_CALLERS = (10, 100, 1_000, 10_000)
COST_ENDPOINTS = (10, 100, 650)
CLASSES = ("urgent", "deferrable", "order")


def percentile(values: list[float], share: float) -> float | None:
    """Return the value at a quantile, or None if there are no values.

    Share is the quantile, from 0 to 1.
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def format_value(value: float | None) -> str:
    """Format a value with three decimals; None becomes a dash."""
    return "-" if value is None else f"{value:.3f}"


def start_waits(records: list[RequestRecord]) -> list[float]:
    """Return the seconds from arrival to start of the requests that started."""
    return [r.started - r.arrived for r in records if r.started is not None]


def completion_times(records: list[RequestRecord]) -> list[float]:
    """Return the seconds from arrival to completion of the completed requests."""
    done = [r for r in records if r.outcome is Outcome.COMPLETED]
    return [r.ended - r.arrived for r in done if r.ended is not None]


def case_rows(name: str, policy: str, result: CaseResult) -> list[str]:
    """Return one row of the table for each class that has requests in the case."""
    rows = []
    for class_name in CLASSES:
        records = [r for r in result.records if r.work_class == class_name]
        if not records:
            continue
        done = completion_times(records)
        share = result.slot_share.get(class_name)
        cells = (
            name,
            policy,
            class_name,
            str(len(records)),
            format_value(len(done) / len(records)),
            format_value(percentile(start_waits(records), 0.99)),
            format_value(percentile(done, 0.5)),
            format_value(percentile(done, 0.95)),
            format_value(share),
        )
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def small_caller_row(policy: str, alone: CaseResult, with_large: CaseResult) -> str:
    """Return a row with the small callers' p95, alone and beside a large caller."""

    def p95(result: CaseResult) -> float:
        small = [r for r in result.records if r.caller.startswith("small")]
        return percentile(completion_times(small), 0.95) or float("inf")

    ratio = p95(with_large) / p95(alone)
    return f"| {policy} | {p95(alone):.3f} | {p95(with_large):.3f} | {ratio:.2f} |"


def decision_cost(callers: int, endpoints: int, seed: int) -> float:
    """Return the CPU milliseconds of the entry's and agent's decisions per request."""
    world = World("wasabispur", endpoints, seed)
    for number in range(callers - 1):
        world.submit("deferrable", f"waiting{number}", 600.0)
    begin = time.process_time()
    for number in range(COST_REQUESTS):
        world.submit("urgent", f"c{number % 10}", 600.0)
        world.clock.advance(0.01)
    return (time.process_time() - begin) / COST_REQUESTS * 1000


@click.command("requests")
@click.option("--seed", type=int, default=1, help="Seed of all random choices.")
def requests_bench(seed: int) -> None:
    """Compare the request decisions with simpler policies under the same load."""
    click.echo(f"seed {seed}; waits and times in seconds of fake time\n")
    click.echo(
        "| case | policy | class | requests | completed share | p99 wait to start "
        "| p50 completion | p95 completion | mean share of slots |"
    )
    click.echo("|---|---|---|---|---|---|---|---|---|")
    results = {}
    for name in CASES:
        for policy in POLICIES:
            results[name, policy] = run_case(name, policy, seed)
            for row in case_rows(name, policy, results[name, policy]):
                click.echo(row)
    click.echo("\n| policy | small p95 alone | beside a large caller | ratio |")
    click.echo("|---|---|---|---|")
    for policy in POLICIES:
        alone = results["small callers alone", policy]
        with_large = results["one large caller", policy]
        click.echo(small_caller_row(policy, alone, with_large))
    click.echo("\n| callers | endpoints | CPU ms per request |\n|---|---|---|")
    for callers in COST_CALLERS:
        click.echo(f"| {callers} | 10 | {decision_cost(callers, 10, seed):.3f} |")
    for endpoints in COST_ENDPOINTS:
        click.echo(f"| 10 | {endpoints} | {decision_cost(10, endpoints, seed):.3f} |")
