"""Define the commands that measure the slopes in docs/CAPACITY.md."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import click
from loguru import logger

from .measure_admission import measure_admission
from .measure_fit import print_lines
from .measure_http import measure_http
from .measure_object import measure_objects
from .measure_odd_job import print_odd_jobs
from .measure_planner import measure_planner
from .measure_request import measure_requests
from .measure_speed import measure_speeds
from .measure_stream import AGENT_KINDS, measure_agent, measure_entry

AGENT_LIMIT = 300
"""Maximum number of agent streams that one measurement opens."""

Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]

SECONDS = click.option(
    "--seconds",
    type=click.FloatRange(1, 60),
    default=10.0,
    show_default=True,
    help="Length of one sample in seconds.",
)


def sizes_option(default: str, largest: int) -> Decorator:
    """Return the decorator of the option --sizes."""
    return click.option(
        "--sizes",
        default=default,
        show_default=True,
        callback=lambda context, option, text: parse_sizes(text, largest),
        help="At least three sizes, separated by commas.",
    )


def parse_sizes(text: str, largest: int) -> list[int]:
    """Parse sizes separated by commas; raise click.BadParameter.

    At least three sizes from 0 to the largest are required.
    """
    try:
        sizes = [int(part) for part in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"{text!r} is no list of whole numbers") from error
    if len(sizes) < 3 or not all(0 <= size <= largest for size in sizes):
        raise click.BadParameter(f"name three sizes or more, from 0 to {largest}")
    return sizes


@click.group()
def measure() -> None:
    """Measure how CPU time, memory and traffic grow with the load."""
    logger.remove()


@measure.command()
@sizes_option("10,30,100,300", AGENT_LIMIT)
@SECONDS
@click.option("--kind", type=click.Choice(list(AGENT_KINDS)), default="endpoint")
@click.option("--seed", type=int, default=1, show_default=True)
def entry(sizes: list[int], seconds: float, kind: str, seed: int) -> None:
    """Measure an idle entry for several numbers of attached agents."""
    print_lines(
        asyncio.run(measure_entry(sizes, seconds, AGENT_KINDS[kind], Random(seed)))
    )


@measure.command()
@sizes_option("1,3,10,30", 64)
@SECONDS
def agent(sizes: list[int], seconds: float) -> None:
    """Measure an idle agent for several numbers of entries."""
    print_lines(asyncio.run(measure_agent(sizes, seconds)))


@measure.command()
@sizes_option("0,20,50,100", 500)
@SECONDS
def requests(sizes: list[int], seconds: float) -> None:
    """Measure the CPU time of an entry and an agent for several request rates."""
    print_lines(measure_requests(sizes, seconds))


@measure.command()
@sizes_option("0,1000,4000", 8000)
def http(sizes: list[int]) -> None:
    """Measure the memory of an HTTP server for several numbers of connections."""
    print_lines(measure_http(sizes))


@measure.command()
def objects() -> None:
    """Measure the CPU time of operations and the memory of objects."""
    print_lines(measure_objects())


@measure.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--fair-shares", is_flag=True, help="Order waiting units by organisations' shares."
)
@click.option(
    "--known-speeds", is_flag=True, help="Let the owner know that a third is slow."
)
def planner(seed: int, fair_shares: bool, known_speeds: bool) -> None:
    """Measure the owner's CPU time for an ended run at several fleet sizes."""
    print_lines(measure_planner(seed, fair_shares, known_speeds))


@measure.command()
@click.option("--seed", type=int, default=1, show_default=True)
def speeds(seed: int) -> None:
    """Measure the owner's CPU time for the learned speeds of workers."""
    cost = measure_speeds(seed)
    click.echo(
        f"{cost.known_workers} known workers: sample {cost.sample:.1f} us, list of a run"
        f" {cost.list:.2f} us, update {cost.update:.2f} ms, row {cost.row:.2f} ms and"
        f" {cost.row_bytes} bytes"
    )


@measure.command()
@click.option("--seed", type=int, default=1, show_default=True)
def admission(seed: int) -> None:
    """Measure the CPU time of the fleet's load at the owner and at entries."""
    cost = measure_admission(seed)
    click.echo(
        f"{cost.waiting_jobs} waiting jobs, {cost.running_units} running units: summary"
        f" {cost.summary:.2f} ms, row {cost.row:.2f} ms and {cost.row_bytes} bytes,"
        f" decoding {cost.decoding:.2f} ms, decision {cost.decision:.3f} ms"
    )


@measure.command("odd-jobs")
def odd_jobs() -> None:
    """Measure for how long jobs of an odd shape occupy the owner at once."""
    print_odd_jobs()
