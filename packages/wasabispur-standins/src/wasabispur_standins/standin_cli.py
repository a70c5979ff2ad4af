"""Define the command line of the stand-ins, the demo and the benchmarks."""

from __future__ import annotations

import sys
from functools import partial
from typing import Any

import click

from wasabispur_runtime.process import run_process

from .bench_command import bench
from .demo import run_demo
from .endpoint import EndpointRoot, EndpointState
from .measure_command import measure
from .object_store import ObjectRoot, ObjectState
from .stand_in import BuildRoot, run_stand_in
from .table_service import TableRoot
from .table_state import TableState
from .worker import WorkerRoot
from .worker_state import USAGE_LAG, WorkerState

PORT = click.option(
    "--port",
    type=click.IntRange(0, 65535),
    default=0,
    help="Port on 127.0.0.1; 0 lets the system choose one.",
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Run the development tools; stand-ins take faults at PUT /faults."""


def serve(name: str, state: Any, build_root: BuildRoot, port: int) -> None:
    """Run one stand-in until SIGTERM."""
    run_process(partial(run_stand_in, name, state, build_root, port))


@main.command("table-service")
@PORT
def table_service(port: int) -> None:
    """Run a stand-in of the table service."""
    serve("table-service", TableState(), TableRoot, port)


@main.command("object-store")
@PORT
def object_store(port: int) -> None:
    """Run a stand-in of the object store."""
    serve("object-store", ObjectState(), ObjectRoot, port)


@main.command()
@PORT
def endpoint(port: int) -> None:
    """Run an endpoint that returns request bodies and records runs."""
    serve("endpoint", EndpointState(), EndpointRoot, port)


@main.command()
@PORT
@click.option("--accelerators", type=click.IntRange(0, 1024), default=8)
@click.option(
    "--usage-lag",
    type=click.FloatRange(0, 3600),
    default=USAGE_LAG,
    help="Age in seconds of the reported usage.",
)
def worker(port: int, accelerators: int, usage_lag: float) -> None:
    """Run a stand-in of a worker."""
    state = WorkerState(accelerators=accelerators, usage_lag=usage_lag)
    serve("worker", state, WorkerRoot, port)


@main.command()
def demo() -> None:
    """Run a request, a job and a bundle change on a small system."""
    sys.exit(run_demo())


main.add_command(bench)
main.add_command(measure)
