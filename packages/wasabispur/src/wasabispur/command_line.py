"""Provide the options, output and error handling that operators' commands share."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from wasabispur_core.error import WasabispurError
from wasabispur_runtime.process import exit_with_error

from .api_client import ApiClient

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"]}

Rows = Sequence[dict[str, Any]]

output_option = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Format of the result.",
)

entry_option = click.option(
    "--entry",
    "url",
    envvar="WASABISPUR_ENTRY",
    default="http://127.0.0.1:8080",
    show_default=True,
    help="HTTP address of an entry; also read from WASABISPUR_ENTRY.",
)

operator_option = click.option(
    "--operator",
    envvar="WASABISPUR_OPERATOR",
    required=True,
    help="Your operator name; also read from WASABISPUR_OPERATOR.",
)


def calls_entry(command: Callable[..., None]) -> Callable[..., None]:
    """Decorate a command that calls an entry.

    Adds the options --entry and --output, passes an ApiClient as first argument, and
    exits with the exit code of a WasabispurError.
    """

    @entry_option
    @output_option
    @functools.wraps(command)
    def run(url: str, **options: Any) -> None:
        run_with_exit_code(lambda: command(ApiClient(url), **options))

    return run


def run_with_exit_code(action: Callable[[], None]) -> None:
    """Run an action; print a WasabispurError and exit with its exit code."""
    try:
        action()
    except WasabispurError as error:
        exit_with_error(error)


def print_rows(value: Any, output: str, rows: Rows, columns: Sequence[str]) -> None:
    """Print a value as JSON, or some columns of its rows as a table."""
    if output == "json":
        click.echo(json.dumps(value, indent=2, sort_keys=True))
        return
    click.echo(format_table(rows, columns))


def print_fields(value: dict[str, Any], output: str, names: Sequence[str]) -> None:
    """Print a value as JSON, or some of its fields, one per line."""
    if output == "json":
        click.echo(json.dumps(value, indent=2, sort_keys=True))
        return
    width = max(len(name) for name in names)
    for name in names:
        click.echo(f"{label(name):<{width}}  {value.get(name, '')}")


def format_table(rows: Rows, columns: Sequence[str]) -> str:
    """Return rows as text in aligned columns under a heading."""
    lines = [[label(name).upper() for name in columns]]
    lines += [[str(row.get(name, "")) for name in columns] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def label(name: str) -> str:
    """Return the display name of a field."""
    return name.replace("_", " ")


def read_json_file(path: Path) -> dict[str, Any]:
    """Return the JSON object in a file; raise a usage error."""
    try:
        value = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise click.UsageError(f"{path} can't be read as JSON: {error}") from error
    if not isinstance(value, dict):
        raise click.UsageError(f"{path} contains no JSON object")
    return value
