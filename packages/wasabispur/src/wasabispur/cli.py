"""Define the wasabispur command, which runs an entry instance or calls one."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import click

from wasabispur_core.error import WasabispurError
from wasabispur_runtime.process import exit_with_error, run_process
from wasabispur_runtime.settings import load_settings

from .bundle_command import bundle_group
from .check_command import check_config
from .command_line import CONTEXT_SETTINGS
from .cordon_command import cordon, cordons, uncordon
from .entry import run_entry
from .entry_settings import EntrySettings
from .job_command import job
from .job_report_command import job_report
from .key_command import key_group
from .member_command import member_group, status
from .report_command import report
from .request_command import request_group
from .settings_command import check_settings


@click.group(context_settings=CONTEXT_SETTINGS)
@click.version_option(package_name="wasabispur")
def main() -> None:
    """Run an entry instance, or operate a wasabispur system."""


@main.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON settings file of the entry.",
)
def entry(path: Path) -> None:
    """Run an entry instance until SIGTERM."""
    try:
        settings = load_settings(EntrySettings, path)
    except WasabispurError as error:
        exit_with_error(error)
    else:
        run_process(partial(run_entry, settings))


for command in (
    bundle_group,
    check_config,
    check_settings,
    cordon,
    cordons,
    job,
    job_report,
    key_group,
    member_group,
    report,
    request_group,
    status,
    uncordon,
):
    main.add_command(command)
