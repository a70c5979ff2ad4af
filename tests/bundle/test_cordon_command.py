"""Guard the commands that cordon data centres."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from wasabispur_core.bundles.bundle import canonical_json, CordonedDataCentre
from wasabispur_runtime.process import ExitCode

from .operators import content
from .test_command_line import CHANGE, entry as entry, LOSE_REPLY, run, StubEntry

OPERATOR = ("--operator", "ada")
MEMBERS = [
    {"member_id": name, "kind": "agent", "data_centre": data_centre, "state": state}
    | {"bundle_version": version}
    for name, data_centre, state, version in (
        ("a", "atl-1", "live", 3),
        ("b", "atl-1", "live", 2),
        ("c", "atl-1", "dead", 1),
        ("d", "sav-1", "live", 3),
    )
]


def serve(entry: StubEntry, *cordoned: str) -> None:
    """Let the entry serve version 3 with some cordons, and its members."""
    cordons = tuple(CordonedDataCentre(name=name) for name in cordoned)
    text = canonical_json(replace(content(), cordons=cordons))
    versions = [{"version": 2, "content": "{}"}, {"version": 3, "content": text}]
    entry.reply = CHANGE | {"versions": versions, "members": MEMBERS}


def posted(entry: StubEntry) -> list[dict[str, Any]]:
    return [json.loads(body) for method, _, body in entry.received if method == "POST"]


@pytest.mark.parametrize(
    ("command", "before", "after"),
    [
        ("cordon", (), ("sav-1",)),
        ("cordon", ("atl-1",), ("atl-1", "sav-1")),
        ("uncordon", ("atl-1", "sav-1"), ("atl-1",)),
        ("uncordon", ("sav-1",), ()),
    ],
)
def test_proposal_differs_by_one_cordon_from_the_newest_version(
    entry, command, before, after
):
    """Guard against a proposal that reverts what another operator changed."""
    serve(entry, *before)
    output = ("--output", "json", "--entry", entry.url)
    result = run(command, "sav-1", *OPERATOR, *output)
    assert result.exit_code == ExitCode.OK, result.stderr
    assert json.loads(result.stdout)["change_id"] == CHANGE["change_id"]
    (body,) = posted(entry)
    assert (body["operator"], body["base_version"]) == ("ada", 3)
    assert f"{command} sav-1" in body["summary"]
    cordons = tuple(CordonedDataCentre(name=name) for name in after)
    expected = canonical_json(replace(content(), cordons=cordons))
    assert body["content"] == json.loads(expected)


@pytest.mark.parametrize(
    ("command", "data_centre", "cordoned", "code", "remedy"),
    [
        ("cordon", "atl-2", (), ExitCode.NOT_FOUND, "atl-1, sav-1"),
        ("cordon", "atl-1", ("atl-1",), ExitCode.CONFLICT, "wasabispur uncordon"),
        ("uncordon", "sav-1", ("atl-1",), ExitCode.CONFLICT, "atl-1"),
    ],
)
def test_command_without_effect_is_refused_with_its_remedy(
    entry, command, data_centre, cordoned, code, remedy
):
    """Guard against a proposal that another operator signs off in vain."""
    serve(entry, *cordoned)
    result = run(command, data_centre, *OPERATOR, "--entry", entry.url)
    assert result.exit_code == code
    assert remedy in result.stderr
    assert posted(entry) == []


@pytest.mark.parametrize("command", ["cordon", "uncordon"])
def test_command_without_any_bundle_names_the_remedy(entry, command):
    """Guard against a first bundle that contains nothing but a cordon."""
    entry.reply = {"versions": [], "members": MEMBERS}
    result = run(command, "atl-1", *OPERATOR, "--entry", entry.url)
    assert result.exit_code == ExitCode.NOT_FOUND
    assert "wasabispur bundle propose" in result.stderr


@pytest.mark.parametrize(
    ("status", "code", "remedy"),
    [
        (409, ExitCode.CONFLICT, "run the command again"),
        (503, ExitCode.UNAVAILABLE, "try again"),
        (LOSE_REPLY, ExitCode.OUTCOME_UNKNOWN, "check the state"),
    ],
)
def test_failed_proposal_names_the_remedy(entry, status, code, remedy):
    """Guard against a concurrent change that looks like a fault of the entry."""
    serve(entry)
    entry.post_status = status
    entry.post_reply = {
        "error": {"kind": "Stub", "message": "refused", "remedy": "try again"}
    }
    result = run("cordon", "atl-1", *OPERATOR, "--entry", entry.url)
    assert result.exit_code == code
    assert remedy in result.stderr
    assert len(posted(entry)) == 1


def test_lost_data_centre_can_be_cordoned(entry):
    """Guard against a cordon that is refused while no process there is known."""
    serve(entry)
    entry.reply["members"] = MEMBERS[3:]
    result = run("cordon", "atl-1", *OPERATOR, "--entry", entry.url)
    assert result.exit_code == ExitCode.OK, result.stderr


def test_list_shows_which_processes_have_yet_to_read_a_cordon(entry):
    """Guard against a cordon that counts as in force before all processes have it."""
    serve(entry, "atl-1")
    output = run("cordons", "--output", "json", "--entry", entry.url)
    assert json.loads(output.stdout) == {
        "bundle_version": 3,
        "cordons": [{"data_centre": "atl-1", "processes": 2, "behind": 1}],
    }
    assert "atl-1" in run("cordons", "--entry", entry.url).stdout


def test_check_of_a_bundle_reports_a_cordon_without_workers(entry):
    """Guard against a misspelt data centre in a bundle file."""
    serve(entry)
    bundle = replace(content(), cordons=(CordonedDataCentre(name="atl-2"),))
    result = run_check(canonical_json(bundle), "--entry", entry.url)
    report = json.loads(result.stdout)
    assert [one["subject"] for one in report["findings"]] == ["cordon atl-2"]
    assert [one["subject"] for one in report["differences"]] == ["cordon atl-2"]
    unknown = json.loads(run_check(canonical_json(bundle)).stdout)
    assert unknown["findings"] == []


def run_check(text: str, *arguments: str) -> Any:
    return run("check-config", "-", "--output", "json", *arguments, input=text)
