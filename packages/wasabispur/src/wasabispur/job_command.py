"""Define the operators' commands for jobs."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote, urlencode

import click

from .api_client import ApiClient
from .command_line import calls_entry

COLUMNS = ("job_id", "state", "organisation", "class", "tasks", "accelerators")


@click.group()
def job() -> None:
    """Submit, show, list and cancel jobs."""


@job.command()
@click.option("--organisation", required=True)
@click.option("--class", "work_class", required=True, help="Workload class.")
@click.option("--command", required=True, help="Command that the workers run.")
@click.option("--tasks", type=int, default=1, help="Size of the gang.")
@click.option("--accelerators", type=int, default=0, help="Accelerators per task.")
@click.option(
    "--at-most-once",
    is_flag=True,
    help="Never start a task again without proof that it ended.",
)
@click.option("--estimate", type=float, default=0.0, help="Run time in seconds.")
@click.option("--data-centre", default=None)
@calls_entry
def submit(
    client: ApiClient,
    output: str,
    organisation: str,
    work_class: str,
    command: str,
    tasks: int,
    accelerators: int,
    at_most_once: bool,
    estimate: float,
    data_centre: str | None,
) -> None:
    """Submit a job."""
    body = {
        "organisation": organisation,
        "class": work_class,
        "command": command,
        "tasks": tasks,
        "accelerators": accelerators,
        "run": "at-most-once" if at_most_once else "restartable",
        "estimate": estimate,
        "data_centre": data_centre,
    }
    print_reply(client, output, "POST", "/v1/jobs", body)


@job.command()
@click.argument("job_id")
@calls_entry
def show(client: ApiClient, output: str, job_id: str) -> None:
    """Show a job."""
    print_reply(client, output, "GET", f"/v1/jobs/{quote(job_id, safe='')}")


@job.command("list")
@click.option("--data-centre", default=None)
@calls_entry
def list_jobs(client: ApiClient, output: str, data_centre: str | None) -> None:
    """List the jobs of a data centre."""
    query = f"?{urlencode({'data_centre': data_centre})}" if data_centre else ""
    print_reply(client, output, "GET", f"/v1/jobs{query}")


@job.command()
@click.argument("job_id")
@calls_entry
def cancel(client: ApiClient, output: str, job_id: str) -> None:
    """Cancel a job."""
    print_reply(client, output, "DELETE", f"/v1/jobs/{quote(job_id, safe='')}")


@job.command()
@click.argument("job_id")
@calls_entry
def explain(client: ApiClient, output: str, job_id: str) -> None:
    """Explain why a job waits, is placed where it is, or was stopped."""
    path = f"/v1/jobs/{quote(job_id, safe='')}/explanation"
    print_reply(client, output, "GET", path)


@job.command("explain-organisation")
@click.option("--data-centre", default=None)
@click.argument("organisation")
@calls_entry
def explain_organisation(
    client: ApiClient, output: str, data_centre: str | None, organisation: str
) -> None:
    """Explain an organisation's usage, waiting jobs and guarantees."""
    query = f"?{urlencode({'data_centre': data_centre})}" if data_centre else ""
    path = f"/v1/organisations/{quote(organisation, safe='')}/explanation{query}"
    print_reply(client, output, "GET", path)


def print_reply(
    client: ApiClient, output: str, method: str, path: str, body: Any = None
) -> None:
    """Call the entry and print its reply."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    reply = client.read(client.call(method, path, data, headers))
    if output == "json":
        click.echo(json.dumps(reply, indent=2))
    elif "jobs" in reply:
        print_table(reply["jobs"])
    else:
        print_fields(reply)


def print_table(jobs: list[dict[str, Any]]) -> None:
    """Print one line for each job."""
    rows = [COLUMNS, *(tuple(str(entry[name]) for name in COLUMNS) for entry in jobs)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def print_fields(fields: dict[str, Any]) -> None:
    """Print one line for each field."""
    width = max(len(name) for name in fields)
    for name, value in fields.items():
        text = value
        if isinstance(value, list):
            text = ", ".join(map(str, value))
        if isinstance(value, dict):
            text = ", ".join(f"{key}: {part}" for key, part in value.items())
        click.echo(f"{name.ljust(width)}  {text}")
