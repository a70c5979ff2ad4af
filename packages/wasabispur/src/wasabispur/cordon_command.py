"""Define the operators' commands for cordons of data centres."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import click

from wasabispur_core.bundles.bundle import BundleContent, canonical_json
from wasabispur_core.bundles.bundle_cordon import (
    AlreadyCordonedError,
    NotCordonedError,
    UnknownDataCentreError,
    with_cordon,
    without_cordon,
)
from wasabispur_core.error import WasabispurError
from wasabispur_runtime.bundle_codec import parse_content
from wasabispur_runtime.process import EXIT_CODES, ExitCode

from .api_client import ApiClient, ApiConflictError, ApiNotFoundError
from .bundle_command import CHANGE_FIELDS
from .command_line import calls_entry, operator_option, print_fields, print_rows

CORDON_COLUMNS = ("data_centre", "processes", "behind")

LIVE = "live"
"""State of a member that is connected."""


class ConcurrentChangeError(WasabispurError):
    """Report that another change was accepted while the proposal was prepared."""


EXIT_CODES.update(
    {
        UnknownDataCentreError: ExitCode.NOT_FOUND,
        AlreadyCordonedError: ExitCode.CONFLICT,
        NotCordonedError: ExitCode.CONFLICT,
        ConcurrentChangeError: ExitCode.CONFLICT,
    }
)

summary_option = click.option("--summary", default="", help="Why; shown to reviewers.")


@dataclass(frozen=True, slots=True, kw_only=True)
class NewestBundle:
    """Represent the newest accepted bundle."""

    version: int
    content: BundleContent


@click.command()
@click.argument("data_centre")
@operator_option
@summary_option
@calls_entry
def cordon(
    client: ApiClient, data_centre: str, operator: str, summary: str, output: str
) -> None:
    """Propose that no task be started in DATA_CENTRE; running tasks continue.

    The change takes effect once another operator has signed it off and it is accepted.
    """
    newest = fetch_newest(client)
    known = fetch_data_centres(client)
    content = with_cordon(newest.content, data_centre, known)
    text = summary or f"cordon {data_centre}"
    propose_change(client, newest.version, content, operator, text, output)


@click.command()
@click.argument("data_centre")
@operator_option
@summary_option
@calls_entry
def uncordon(
    client: ApiClient, data_centre: str, operator: str, summary: str, output: str
) -> None:
    """Propose that tasks be started in DATA_CENTRE again."""
    newest = fetch_newest(client)
    content = without_cordon(newest.content, data_centre)
    text = summary or f"uncordon {data_centre}"
    propose_change(client, newest.version, content, operator, text, output)


@click.command()
@calls_entry
def cordons(client: ApiClient, output: str) -> None:
    """List the cordoned data centres, and how many live processes have yet to know."""
    newest = fetch_newest(client)
    members = client.get("/v1/members")["members"]
    rows = [
        describe_cordon(one.name, newest.version, members)
        for one in newest.content.cordons
    ]
    value = {"bundle_version": newest.version, "cordons": rows}
    print_rows(value, output, rows, CORDON_COLUMNS)


def describe_cordon(
    data_centre: str, version: int, members: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a cordon with the live processes there, and those without the version."""
    versions = [
        member["bundle_version"]
        for member in members
        if member["data_centre"] == data_centre and member["state"] == LIVE
    ]
    return {
        "data_centre": data_centre,
        "processes": len(versions),
        "behind": sum(known < version for known in versions),
    }


def propose_change(
    client: ApiClient,
    base: int,
    content: BundleContent,
    operator: str,
    summary: str,
    output: str,
) -> None:
    """Propose the content on top of the base version and print the change."""
    body = {
        "operator": operator,
        "summary": summary,
        "base_version": base,
        "content": json.loads(canonical_json(content)),
    }
    try:
        change = client.post("/v1/bundles", body)
    except ApiConflictError as error:
        raise ConcurrentChangeError(
            f"another change was accepted after version {base}, and nothing was "
            f"proposed: {error.message}",
            "run the command again, which starts from the newest version",
        ) from error
    print_fields(change, output, CHANGE_FIELDS)


def fetch_newest(client: ApiClient) -> NewestBundle:
    """Fetch the newest accepted bundle; raise ApiNotFoundError if there is none."""
    versions = client.get("/v1/bundles/versions")["versions"]
    newest = max(versions, key=lambda one: int(one["version"]), default=None)
    if newest is None:
        raise ApiNotFoundError(
            "NoBundle",
            "no bundle was accepted yet",
            "propose a first one with wasabispur bundle propose",
        )
    content = parse_content(json.loads(newest["content"]))
    return NewestBundle(version=int(newest["version"]), content=content)


def fetch_data_centres(client: ApiClient, kind: str = "") -> frozenset[str]:
    """Fetch the data centres of the known processes, or of those of one kind."""
    members = client.get("/v1/members")["members"]
    return frozenset(
        member["data_centre"] for member in members if kind in ("", member["kind"])
    )
