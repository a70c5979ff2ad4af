"""Define the operators' commands that report on a running system."""

from __future__ import annotations

import time
from pathlib import Path

import click
import urllib3
from pydantic import TypeAdapter, ValidationError

from wasabispur_core.burn import SlotCount, window_burn_rates
from wasabispur_core.error import StoreError, WasabispurError
from wasabispur_runtime.process import exit_with_error

from .burn_report import BurnReport, RENDERERS

READ_TIMEOUT = 10.0
"""Seconds to wait for an entry's response."""

RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024

DEFAULT_OBJECTIVES = ("urgent=0.999", "deferrable=0.99", "order=0.999")

COUNTS = TypeAdapter(list[SlotCount])


class EntryUnreachableError(StoreError):
    """Report an entry whose counts can't be read."""


@click.group()
def report() -> None:
    """Report on a running system."""


@report.command()
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="URL",
    help="HTTP address of an entry; name all entries.",
)
@click.option(
    "--objective",
    "objectives",
    multiple=True,
    default=DEFAULT_OBJECTIVES,
    show_default=True,
    metavar="CLASS=SHARE",
    help="Share of a class's requests that have to complete.",
)
@click.option("--output", type=click.Choice(list(RENDERERS)), default="table")
@click.option("--file", type=click.Path(path_type=Path), help="Write to this file.")
def burn(
    entries: tuple[str, ...],
    objectives: tuple[str, ...],
    output: str,
    file: Path | None,
) -> None:
    """Show how fast each class and organisation uses up its error budget."""
    targets = dict(parse_objective(text) for text in objectives)
    try:
        counts = [count for entry in entries for count in read_counts(entry)]
    except WasabispurError as error:
        exit_with_error(error)
        return
    wall_time = time.time()
    lines = window_burn_rates(counts, targets, wall_time)
    text = RENDERERS[output](
        BurnReport(wall_time=wall_time, targets=targets, lines=lines, counts=counts)
    )
    if file is None:
        click.echo(text)
    else:
        file.write_text(text, encoding="utf-8")


def parse_objective(text: str) -> tuple[str, float]:
    """Return the class and its target; raise click.BadParameter."""
    name, _, share = text.partition("=")
    try:
        target = float(share)
    except ValueError as error:
        raise click.BadParameter(f"{text!r} is not CLASS=SHARE") from error
    if not name or not 0 < target < 1:
        raise click.BadParameter(f"{text!r} needs a class and a share between 0 and 1")
    return name, target


def read_counts(entry: str) -> list[SlotCount]:
    """Return the counts of an entry; raise EntryUnreachableError.

    A report that left out an entry would show wrong burn rates, so an unreachable
    entry fails the command.
    """
    url = f"{entry.rstrip('/')}/v1/metrics/counts"
    try:
        response = urllib3.request(
            "GET", url, timeout=READ_TIMEOUT, retries=False, preload_content=False
        )
        body = response.read(RESPONSE_LIMIT_BYTES)
        if response.status != 200:
            raise EntryUnreachableError(
                f"{url} responded with status {response.status}",
                "check the entry's address",
            )
        return COUNTS.validate_json(body)
    except (urllib3.exceptions.HTTPError, ValidationError) as error:
        raise EntryUnreachableError(
            f"the counts of {entry} can't be read: {error}",
            "check the address, or leave out an entry that was replaced",
        ) from error
