"""Test the job report on the logs of real processes."""

from __future__ import annotations

import json
import signal
import time

import pytest
from click.testing import CliRunner

from wasabispur.cli import main
from wasabispur_platform_standin.system import PlatformSystem, QUEUE
from wasabispur_standins.process import ProcessGroup, wait_for


@pytest.fixture(scope="module")
def logs(tmp_path_factory):
    """Return files with the logs of a short day with two owners."""
    path = tmp_path_factory.mktemp("report")
    with ProcessGroup(tmp_path_factory.mktemp("processes")) as group:
        system = PlatformSystem(group)
        system.wait_ready()
        outputs = play_day(system)
        outputs |= {name: child.output() for name, child in system.children.items()}
    files = []
    for name, output in outputs.items():
        file = path / f"{name}.log"
        file.write_text(output, encoding="utf-8")
        files.append(str(file))
    return files


def play_day(system: PlatformSystem) -> dict[str, str]:
    """Submit, cancel and reject jobs, kill the entries, and return their logs."""
    done, cancelled = "00000000000000a1", "00000000000000b1"
    assert system.submit("entry-0", done, tasks=3, seconds=1).status == 200
    assert system.submit("entry-1", done, tasks=3, seconds=1).status == 200
    assert system.submit("entry-1", cancelled, tasks=2, seconds=60).status == 200
    wait_for("the end", lambda: system.state("entry-0", done) == "completed")
    wait_for(
        "the starts",
        lambda: sum(start.startswith(cancelled) for start in system.starts()) == 2,
    )
    begun = time.monotonic()
    wait_for("a second of work", lambda: time.monotonic() > begun + 1)
    assert system.client("DELETE", "entry-0", cancelled).status == 200
    wait_for("the stop", lambda: system.state("entry-0", cancelled) == "cancelled")
    system.faults(status=503)
    wait_for("a refusal", lambda: system.submit("entry-0", "c" * 16).status == 503)
    system.faults()
    system.wait_ready()
    outputs = {}
    for name in ("entry-0", "entry-1"):
        system.children[name].signal(signal.SIGKILL)
        system.children[name].process.wait()
        outputs[f"former-{name}"] = system.children[name].output()
        system.restart(name)
    system.wait_ready()
    later = "00000000000000d1"
    assert system.submit("entry-0", later, seconds=0.5).status == 200
    wait_for(
        "the last end",
        lambda: system.state("entry-0", later) == "completed",
        limit=40,
    )
    return outputs


def report(*arguments: str) -> dict:
    result = CliRunner().invoke(main, ["job-report", *arguments, "--output", "json"])
    assert result.exit_code == 0, result.stderr
    return json.loads(result.stdout)


def test_report_agrees_with_the_played_day(logs):
    """Guard against a report that reads other fields than processes write."""
    value = report(*logs, "--by", "queue")
    assert value["log"]["invalid_records"] == value["log"]["not_json"] == 0
    (group,) = value["queues"]
    assert group["name"] == QUEUE
    assert (group["accepted"], group["completed"]) == (3, 2)
    assert (group["cancelled"], group["failed"], group["open"]) == (1, 0, 0)
    assert sum(group["rejected"].values()) == 1
    assert group["wait_seconds"]["jobs"] == 3
    assert 0 < group["wait_seconds"]["maximum"] < 3
    assert group["runs"] == 6
    assert group["runs_by_data_centre"] == {"a1": 6}
    assert group["lost_core_seconds"].keys() == {"cancelled"}
    assert group["declared_error_median"] is not None


def test_data_centres_are_those_of_the_workers(logs):
    """Guard against runs whose workers no record assigns to a data centre."""
    (group,) = report(*logs, "--by", "data-centre")["data_centres"]
    assert (group["name"], group["runs"]) == ("a1", 6)


def test_order_of_files_makes_no_difference(logs):
    """Guard against a result that depends on which process is named first."""
    assert report(*logs) == report(*reversed(logs))
