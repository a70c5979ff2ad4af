"""Define the command group of the benchmarks."""

from __future__ import annotations

import click

from .job_bench import jobs_bench


@click.group()
def bench() -> None:
    """Measure the decisions on the fake timer service."""


bench.add_command(jobs_bench)
