"""Define the operators' commands for their signing keys."""

from __future__ import annotations

import json
from pathlib import Path

import click

from wasabispur_runtime.signature import generate_key

from .command_line import CONTEXT_SETTINGS, operator_option, run_with_exit_code


@click.group("key", context_settings=CONTEXT_SETTINGS)
def key_group() -> None:
    """Create the keys with which operators sign off bundle changes."""


@key_group.command()
@click.argument("path", type=click.Path(path_type=Path))
@operator_option
def generate(path: Path, operator: str) -> None:
    """Write a new private key to PATH and print its entry for the settings."""

    def run() -> None:
        public_key = generate_key(path)
        entry = {"operator": operator, "public_key": public_key}
        click.echo(json.dumps(entry, indent=2))

    run_with_exit_code(run)
