"""Define the command group of the benchmarks."""

from __future__ import annotations

import click

from .bench_request import requests_bench


@click.group()
def bench() -> None:
    """Measure the decisions on the fake timer service."""


bench.add_command(requests_bench)
