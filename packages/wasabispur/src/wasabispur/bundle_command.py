"""Define the operators' commands for bundle changes and versions."""

from __future__ import annotations

import difflib
import json
from pathlib import Path
from typing import Any

import click

from wasabispur_core.bundles.bundle import digest_of, signature_payload
from wasabispur_runtime.signature import load_key

from .api_client import ApiClient, ApiNotFoundError, ApiRefusedError
from .command_line import (
    calls_entry,
    CONTEXT_SETTINGS,
    operator_option,
    print_fields,
    print_rows,
    read_json_file,
)

CHANGE_FIELDS = (
    "change_id",
    "state",
    "base_version",
    "proposer",
    "signer",
    "digest",
    "summary",
)
CHANGE_COLUMNS = ("change_id", "state", "base_version", "proposer", "summary")
VERSION_COLUMNS = ("version", "change_id", "proposer", "signer", "digest")
MEMBER_COLUMNS = ("member_id", "kind", "region", "state", "bundle_version")


@click.group("bundle", context_settings=CONTEXT_SETTINGS)
def bundle_group() -> None:
    """Propose, review, sign off, accept and show bundles."""


@bundle_group.command()
@click.argument("content", type=click.Path(path_type=Path))
@operator_option
@click.option("--summary", default="", help="What the change is for.")
@click.option(
    "--base",
    type=click.IntRange(0),
    default=None,
    help="Version that the change is based on; default: the newest accepted one.",
)
@calls_entry
def propose(
    client: ApiClient,
    content: Path,
    operator: str,
    summary: str,
    base: int | None,
    output: str,
) -> None:
    """Propose the JSON file CONTENT as the next bundle."""
    body = {
        "operator": operator,
        "summary": summary,
        "base_version": fetch_newest_version(client) if base is None else base,
        "content": read_json_file(content),
    }
    print_fields(client.post("/v1/bundles", body), output, CHANGE_FIELDS)


@bundle_group.command()
@click.argument("change_id")
@operator_option
@click.option("--note", default="", help="Result of the review.")
@calls_entry
def review(
    client: ApiClient, change_id: str, operator: str, note: str, output: str
) -> None:
    """Confirm that you have read the change CHANGE_ID of another operator."""
    body = {"operator": operator, "note": note}
    submit_step(client, change_id, "review", body, output)


@bundle_group.command("sign-off")
@click.argument("change_id")
@operator_option
@click.option(
    "--key",
    "key_path",
    type=click.Path(path_type=Path),
    envvar="WASABISPUR_KEY",
    required=True,
    help="Your private key file, which is not sent; also read from WASABISPUR_KEY.",
)
@click.option("--digest", default="", help="Sign only content with this digest.")
@calls_entry
def sign_off(
    client: ApiClient,
    change_id: str,
    operator: str,
    key_path: Path,
    digest: str,
    output: str,
) -> None:
    """Sign the change CHANGE_ID of another operator with your key."""
    key = load_key(key_path)
    change = client.get(f"/v1/bundles/{change_id}")
    check_digest(change, change_id, digest)
    payload = signature_payload(
        change_id=change_id,
        proposer=change["proposer"],
        base_version=change["base_version"],
        digest=change["digest"],
    )
    body = {"operator": operator, "signature": key.sign(payload).hex()}
    submit_step(client, change_id, "sign-off", body, output)


@bundle_group.command()
@click.argument("change_id")
@operator_option
@calls_entry
def accept(client: ApiClient, change_id: str, operator: str, output: str) -> None:
    """Accept the signed-off change CHANGE_ID, which puts it in force everywhere."""
    submit_step(client, change_id, "accept", {"operator": operator}, output)


@bundle_group.command()
@click.argument("change_id")
@operator_option
@click.option("--reason", default="", help="Why the change is rejected.")
@calls_entry
def reject(
    client: ApiClient, change_id: str, operator: str, reason: str, output: str
) -> None:
    """Reject the change CHANGE_ID."""
    body = {"operator": operator, "note": reason}
    submit_step(client, change_id, "reject", body, output)


@bundle_group.command("list")
@click.option(
    "--near",
    type=click.IntRange(0),
    default=0,
    help="Base version to list around; 0 for the newest.",
)
@calls_entry
def list_changes(client: ApiClient, near: int, output: str) -> None:
    """List the changes based on the newest versions, or on versions near one."""
    value = client.get(f"/v1/bundles?near={near}")
    print_rows(value, output, value["changes"], CHANGE_COLUMNS)


@bundle_group.command()
@click.argument("change_id")
@calls_entry
def show(client: ApiClient, change_id: str, output: str) -> None:
    """Show the change CHANGE_ID with its steps and content."""
    change = client.get(f"/v1/bundles/{change_id}")
    print_fields(change, output, CHANGE_FIELDS)
    if output == "json":
        return
    for step in change["steps"]:
        click.echo(f"step: {step['step']} by {step['operator']} {step['note']}")
    click.echo(format_content(change["content"]))


@bundle_group.command()
@click.option(
    "--near",
    type=click.IntRange(0),
    default=0,
    help="Version to list around; 0 for the newest.",
)
@calls_entry
def history(client: ApiClient, near: int, output: str) -> None:
    """List the newest accepted versions, or the versions near one."""
    value = client.get(f"/v1/bundles/versions?near={near}")
    print_rows(value, output, value["versions"], VERSION_COLUMNS)


@bundle_group.command()
@click.argument("first")
@click.argument("second")
@calls_entry
def diff(client: ApiClient, first: str, second: str, output: str) -> None:
    """Compare two contents, each named by a version number or a change id."""
    before, after = fetch_content(client, first), fetch_content(client, second)
    lines = list(
        difflib.unified_diff(
            format_content(before).splitlines(),
            format_content(after).splitlines(),
            first,
            second,
            lineterm="",
        )
    )
    if output == "json":
        click.echo(json.dumps({"lines": lines}, indent=2))
        return
    click.echo("\n".join(lines) or "no difference")


@bundle_group.command("in-force")
@calls_entry
def in_force(client: ApiClient, output: str) -> None:
    """Show the bundle version in force in every known process."""
    value = client.get("/v1/members")
    print_rows(value, output, value["members"], MEMBER_COLUMNS)


def submit_step(
    client: ApiClient, change_id: str, step: str, body: dict[str, Any], output: str
) -> None:
    """Submit one step of a change to the entry and print the change."""
    change = client.post(f"/v1/bundles/{change_id}/{step}", body)
    print_fields(change, output, CHANGE_FIELDS)


def fetch_newest_version(client: ApiClient) -> int:
    """Fetch the newest accepted version; 0 before the first one."""
    versions = client.get("/v1/bundles/versions")["versions"]
    return max((int(version["version"]) for version in versions), default=0)


def check_digest(change: dict[str, Any], change_id: str, digest: str) -> None:
    """Raise ApiRefusedError unless the change is the one that was reviewed.

    The digest is computed from the content here; the entry's own is not trusted. An
    empty digest matches any content.
    """
    actual = digest_of(change["content"])
    if change["change_id"] != change_id or actual != change["digest"]:
        raise ApiRefusedError(
            "Digest",
            f"the entry's digest does not match the content of change {change_id}",
            "use another entry and report the fault",
        )
    if digest not in ("", actual):
        raise ApiRefusedError(
            "Digest",
            f"change {change_id} has the digest {actual}",
            "review the change again",
        )


def fetch_content(client: ApiClient, name: str) -> str:
    """Fetch the content text of a version or a change."""
    if not name.isdigit():
        return str(client.get(f"/v1/bundles/{name}")["content"])
    for version in client.get(f"/v1/bundles/versions?near={name}")["versions"]:
        if version["version"] == int(name):
            return str(version["content"])
    raise ApiNotFoundError(
        "UnknownVersion", f"there is no version {name}", "list them with history"
    )


def format_content(content: str) -> str:
    """Return a content text indented, with one field per line."""
    return json.dumps(json.loads(content), indent=2, sort_keys=True)
