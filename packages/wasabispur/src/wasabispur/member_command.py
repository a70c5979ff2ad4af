"""Define the operators' commands that show the processes of a system."""

from __future__ import annotations

from collections import Counter

import click

from .api_client import ApiClient, ApiNotFoundError
from .command_line import calls_entry, CONTEXT_SETTINGS, print_fields, print_rows

COLUMNS = (
    "member_id",
    "kind",
    "region",
    "data_centre",
    "state",
    "bundle_version",
    "entry_id",
)


@click.group("member", context_settings=CONTEXT_SETTINGS)
def member_group() -> None:
    """Show the processes of the system."""


@member_group.command("list")
@click.option("--state", default="", help="Show only members in this state.")
@calls_entry
def list_members(client: ApiClient, state: str, output: str) -> None:
    """List the known processes with their state and bundle version."""
    members = client.get("/v1/members")["members"]
    if state:
        members = [member for member in members if member["state"] == state]
    print_rows({"members": members}, output, members, COLUMNS)


@click.command()
@calls_entry
def status(client: ApiClient, output: str) -> None:
    """Show the bundle version in force and the number of processes in each state."""
    members = client.get("/v1/members")["members"]
    try:
        version = client.get("/v1/bundles/in-force")["version"]
    except ApiNotFoundError:
        version = 0
    states = Counter(member["state"] for member in members)
    behind = sum(member["bundle_version"] < version for member in members)
    value = {
        "entry": client.url,
        "bundle_version": version,
        "members": len(members),
        "behind": behind,
        **{state: states[state] for state in sorted(states)},
    }
    print_fields(value, output, tuple(value))
