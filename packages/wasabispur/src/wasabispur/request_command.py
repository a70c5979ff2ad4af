"""Define the operators' commands for single requests."""

from __future__ import annotations

import json
from pathlib import Path
from urllib.parse import quote

import click

from .api_client import ApiClient, ApiReply, OUTCOME_HEADER
from .command_line import calls_entry, CONTEXT_SETTINGS, print_fields

REPLY_GRACE = 5.0
"""Seconds beyond the deadline that the command waits for the entry."""


@click.group("request", context_settings=CONTEXT_SETTINGS)
def request_group() -> None:
    """Send and show single requests."""


@request_group.command()
@click.argument("service")
@click.argument("path", default="/")
@click.option(
    "--organisation", required=True, help="Organisation that sends the request."
)
@click.option("--class", "work_class", required=True, help="Workload class.")
@click.option("--method", default="POST", show_default=True, help="HTTP method.")
@click.option("--body", type=click.Path(path_type=Path), help="File with the body.")
@click.option("--key", default="", help="Idempotency key.")
@click.option(
    "--deadline",
    type=click.FloatRange(0.001, 600),
    default=30.0,
    show_default=True,
    help="Seconds that the request may take.",
)
@calls_entry
def send(
    client: ApiClient,
    service: str,
    path: str,
    organisation: str,
    work_class: str,
    method: str,
    body: Path | None,
    key: str,
    deadline: float,
    output: str,
) -> None:
    """Send one request to SERVICE and print the endpoint's response."""
    headers = {
        "Wasabispur-Organisation": organisation,
        "Wasabispur-Class": work_class,
        "Wasabispur-Deadline-Ms": str(round(deadline * 1000)),
    }
    if key:
        headers["Idempotency-Key"] = key
    reply = client.call(
        method.upper(),
        f"/v1/services/{quote(service)}/{path.lstrip('/')}",
        b"" if body is None else body.read_bytes(),
        headers,
        deadline + REPLY_GRACE,
    )
    if reply.headers.get(OUTCOME_HEADER) != "completed":
        client.read(reply)
    print_response(reply, output)


@request_group.command()
@click.argument("request_id")
@calls_entry
def show(client: ApiClient, request_id: str, output: str) -> None:
    """Show the state of the request REQUEST_ID."""
    value = client.get(f"/v1/requests/{quote(request_id)}")
    print_fields(value, output, tuple(value))


def print_response(reply: ApiReply, output: str) -> None:
    """Print an endpoint's response."""
    if output == "table":
        click.echo(reply.body)
        return
    value = {
        "status": reply.status,
        "request_id": reply.headers.get("Wasabispur-Request-Id", ""),
        "outcome": reply.headers.get(OUTCOME_HEADER, ""),
        "body": reply.body.decode(errors="replace"),
    }
    click.echo(json.dumps(value, indent=2, sort_keys=True))
