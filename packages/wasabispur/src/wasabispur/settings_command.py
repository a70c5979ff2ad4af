"""Define the operators' command that checks a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from wasabispur_runtime.settings import load_settings

from .command_line import run_with_exit_code
from .entry_settings import EntrySettings


@click.command("check-settings")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON settings file of an entry.",
)
def check_settings(path: Path) -> None:
    """Check the settings file of an entry without starting it."""

    def run() -> None:
        settings = load_settings(EntrySettings, path)
        _ = settings.http_limits  # Raises SettingsError if the limits contradict.
        click.echo(f"{path} is valid for entry {settings.entry_id}")

    run_with_exit_code(run)
