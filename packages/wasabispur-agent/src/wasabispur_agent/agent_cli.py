"""Define the wasabispur-agent command."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import click

from wasabispur_core.error import WasabispurError
from wasabispur_runtime.process import exit_with_error, run_process
from wasabispur_runtime.settings import load_settings

from .agent import run_agent
from .agent_settings import AgentSettings


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="wasabispur-agent")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON settings file of the agent.",
)
def main(path: Path) -> None:
    """Run the agent beside an endpoint or a worker until SIGTERM."""
    try:
        settings = load_settings(AgentSettings, path)
    except WasabispurError as error:
        exit_with_error(error)
    else:
        run_process(partial(run_agent, settings))
