"""Define the operators' command that reports on the service that callers received."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager, ExitStack
from pathlib import Path
from typing import BinaryIO

import click

from wasabispur_core.error import WasabispurError
from wasabispur_runtime.process import EXIT_CODES, ExitCode

from .command_line import output_option, run_with_exit_code
from .job_report.log_reader import read_records, ReadCounts
from .job_report.record_effect import add_record
from .job_report.report_format import format_report, report_value
from .job_report.service_account import Grouping, ServiceAccount

STANDARD_INPUT = "-"


class NoRecordError(WasabispurError):
    """Report logs in which no line is a record."""


EXIT_CODES[NoRecordError] = ExitCode.NO_RECORD


@click.command("job-report")
@click.argument("files", nargs=-1, metavar="[FILES]")
@click.option(
    "--by",
    "grouping",
    type=click.Choice([grouping.value for grouping in Grouping]),
    default=None,
    help="What to group by; by default both queue and organisation.",
)
@output_option
def job_report(files: tuple[str, ...], grouping: str | None, output: str) -> None:
    """Report on the service that callers of jobs received, from logs in FILES.

    Reads standard input without FILES, or for -. Logs are lines of JSON, of any number
    of processes; other lines are counted and skipped. Exits with 10 if no line is a log
    record.
    """
    groupings = [Grouping.QUEUE, Grouping.ORGANISATION]
    if grouping is not None:
        groupings = [Grouping(grouping)]

    def run() -> None:
        counts = ReadCounts()
        account = read_account(files or (STANDARD_INPUT,), counts)
        if not counts.records:
            raise NoRecordError(
                f"none of {counts.unread.total()} lines is a log record",
                "name files with the standard output of entries",
            )
        if output == "json":
            value = report_value(account, counts, groupings)
            click.echo(json.dumps(value, indent=2, sort_keys=True))
        else:
            click.echo(format_report(account, counts, groupings))

    run_with_exit_code(run)


def read_account(files: tuple[str, ...], counts: ReadCounts) -> ServiceAccount:
    """Return the account of all records in some files; raise a usage error."""
    account = ServiceAccount()
    with ExitStack() as stack:
        try:
            logs = [stack.enter_context(open_log(name)) for name in files]
            for record in read_records(logs, counts):
                add_record(record, account)
        except OSError as error:
            name = error.filename or "a log"
            raise click.UsageError(f"{name} can't be read: {error.strerror}") from error
    account.finish()
    return account


@contextmanager
def open_log(name: str) -> Iterator[BinaryIO]:
    """Open a file, or standard input if the name is -."""
    if name == STANDARD_INPUT:
        yield sys.stdin.buffer
        return
    with Path(name).open("rb") as log:
        yield log
