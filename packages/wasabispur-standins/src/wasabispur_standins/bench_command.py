"""Define the command group of the benchmarks, which are development tools."""

from __future__ import annotations

import click

from .bench_request import requests_bench
from .experiment_command import fleet_experiment
from .job_bench import jobs_bench


@click.group()
def bench() -> None:
    """Measure the request and job decisions on the fake timer service."""


bench.add_command(fleet_experiment)
bench.add_command(jobs_bench)
bench.add_command(requests_bench)
