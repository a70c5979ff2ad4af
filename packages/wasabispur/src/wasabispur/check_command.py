"""Define the operators' command that checks a configuration before it is sent."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import click

from wasabispur_core.bundles import bundle_check
from wasabispur_core.bundles.bundle import InvalidBundleError
from wasabispur_core.bundles.bundle_version import ProcessKind
from wasabispur_core.bundles.config_check import check_against, CheckReport
from wasabispur_core.error import SettingsError
from wasabispur_runtime.bundle_codec import parse_content
from wasabispur_runtime.process import EXIT_CODES, ExitCode

from .api_client import ApiClient
from .bundle_command import fetch_content, fetch_newest_version
from .command_line import format_table, output_option, run_with_exit_code
from .cordon_command import fetch_data_centres

STANDARD_INPUT = "-"

FINDING_COLUMNS = ("severity", "subject", "field", "value", "problem", "remedy")
DIFFERENCE_COLUMNS = ("subject", "field", "before", "after", "effect")

EXIT_CODES[InvalidBundleError] = ExitCode.REFUSED

content_argument = click.argument("content", metavar="FILE")
against_option = click.option(
    "--against",
    metavar="FILE",
    default=None,
    help="File with the version in force, to show the differences.",
)


@click.command("check-config")
@content_argument
@against_option
@click.option(
    "--entry",
    "url",
    default=None,
    help="HTTP address of an entry whose newest version is compared with.",
)
@output_option
def check_config(
    content: str, against: str | None, url: str | None, output: str
) -> None:
    """Check the bundle in FILE, or in standard input with -, before it is proposed.

    Exits with 0 if there is no error, and with 7 if there is one. Nothing is sent.
    """

    def run() -> None:
        if against is not None and url is not None:
            raise click.UsageError("use --against or --entry, not both")
        former = None
        client = None if url is None else ApiClient(url)
        if against is not None:
            former = parse_content(read_configuration(against))
        elif client is not None:
            former = newest_content(client)
        checked = parse_content(read_configuration(content))
        report = check_against(checked, former)
        if client is not None and checked.cordons:
            known = fetch_data_centres(client, ProcessKind.AGENT.value)
            unmatched = bundle_check.unmatched_cordons(checked, known)
            report = replace(report, findings=(*report.findings, *unmatched))
        print_report(report, output)

    run_with_exit_code(run)


def newest_content(client: ApiClient) -> Any:
    """Return the newest accepted bundle, or None if there is none yet."""
    version = fetch_newest_version(client)
    if not version:
        return None
    return parse_content(json.loads(fetch_content(client, str(version))))


def read_configuration(name: str) -> Any:
    """Return the JSON value in a file, or in standard input if the name is -."""
    try:
        if name == STANDARD_INPUT:
            return json.load(sys.stdin)
        return json.loads(Path(name).read_text(encoding="utf-8"))
    except OSError as error:
        raise click.UsageError(f"{name} can't be read: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            f"{name} is not JSON: {error}", "correct its syntax"
        ) from error


def print_report(report: CheckReport, output: str) -> None:
    """Print the result, and exit with code 7 if it contains an error."""
    if output == "json":
        click.echo(json.dumps(asdict(report), indent=2, sort_keys=True))
    else:
        click.echo(format_report(report))
    if report.has_errors:
        sys.exit(ExitCode.REFUSED)


def format_report(report: CheckReport) -> str:
    """Return the result as tables."""
    findings = [asdict(one) for one in report.findings]
    differences = [asdict(one) for one in report.differences]
    parts = [
        format_table(findings, FINDING_COLUMNS) if findings else "no findings",
    ]
    if differences:
        parts.append(format_table(differences, DIFFERENCE_COLUMNS))
    return "\n\n".join(parts)
