"""Guard the report of the service that callers received, from logs of a day."""

from __future__ import annotations

import json
import tracemalloc
from datetime import datetime, timedelta, UTC
from io import BytesIO

import pytest
from click.testing import CliRunner

from wasabispur.cli import main
from wasabispur.job_report import service_account, service_group
from wasabispur.job_report.log_reader import read_records, ReadCounts
from wasabispur.job_report.record_effect import add_record
from wasabispur.job_report.service_account import Grouping, ServiceAccount
from wasabispur_core.log_event import (
    EVICTION_ACCOUNTED,
    JOB_ACCEPTED,
    JOB_ENDED,
    JOB_READ_BY_OWNER,
    JOB_REFUSED,
    JOB_UNCERTAIN,
    LogEvent,
    RECORDS_DROPPED,
    RUN_ENDED,
    UNIT_PLACED,
    UNIT_PREEMPTED,
    WORKER_STATE_READ,
)
from wasabispur_runtime.process import ExitCode

START = datetime(2026, 3, 2, 6, tzinfo=UTC)
TERMS = {"queue": "batch", "organisation": "peachtree"}


def line(at: float, event: LogEvent | int, **fields: object) -> str:
    """Return a line as a process writes it, some seconds after the start of the day."""
    number = event if isinstance(event, int) else event.number
    header = {
        "time": (START + timedelta(seconds=at)).isoformat(timespec="milliseconds"),
        "level": "INFO",
        "event": number,
        "process": "entry-0",
        "text": "",
    }
    return json.dumps(header | fields)


def entry_lines(job: str = "j1", at: float = 0.0) -> list[str]:
    return [line(at, JOB_ACCEPTED, job=job, **TERMS, repeated=False, policy=1)]


def owner_lines(job: str = "j1", at: float = 0.0, waited: float = 2.0) -> list[str]:
    """Return the owner's lines on a job that is stopped once and completes."""
    unit, task = {"job": job, "unit": "0.0.0"}, {"job": job, "task": f"{job}.0.0.0"}
    run = {"ran": 10.0, "expected": 11.0, "declared": 15.0, "worker": "w1"}
    waste = {"cause": "preempted", "lost": 30.5, "overhead": 4.25}
    end = {"cause": "", "lost": 0.0, "overhead": 0.0, "how": "done"}
    return [
        line(at + 0.1, JOB_READ_BY_OWNER, job=job, **TERMS, age=0.1),
        line(at + waited, UNIT_PLACED, **unit, run=1, workers=["w1"]),
        line(at + 4, UNIT_PREEMPTED, **unit, run=1, beneficiary="j9.0.0.0"),
        line(at + 5, RUN_ENDED, **task, run=1, **run, how="stopped", **waste),
        line(at + 6, UNIT_PLACED, **unit, run=2, workers=["w1", "w2"]),
        line(at + 8, EVICTION_ACCOUNTED, **unit, idle=1.5),
        line(at + 16, RUN_ENDED, **task, run=2, **run | {"ran": 9.0}, **end),
        line(at + 17, JOB_ENDED, job=job, **TERMS, state="completed", took=17.0),
    ]


def worker_lines() -> list[str]:
    return [
        line(-5, WORKER_STATE_READ, worker="w1", data_centre="a1", state="ready"),
        line(-5, WORKER_STATE_READ, worker="w2", data_centre="b1", state="ready"),
    ]


def report(tmp_path, *logs: list[str], by: str = "queue") -> dict:
    """Return the JSON report on some logs."""
    paths = []
    for number, lines in enumerate(logs):
        path = tmp_path / f"process-{number}.log"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        paths.append(str(path))
    arguments = ["job-report", *paths, "--output", "json", "--by", by]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == ExitCode.OK, result.stderr
    return json.loads(result.stdout)


def only_group(value: dict, key: str = "queues") -> dict:
    (group,) = value[key]
    return group


def test_job_is_reported_with_its_wait_and_its_waste(tmp_path):
    """Guard against a day's report that leaves out what callers and workers bore."""
    value = report(tmp_path, entry_lines(), [*worker_lines(), *owner_lines()])
    group = only_group(value)
    assert group["name"] == "batch"
    assert (group["accepted"], group["completed"], group["open"]) == (1, 1, 0)
    assert group["wait_seconds"]["median"] == pytest.approx(2.0)
    assert group["stops"] == {"preempted": 1}
    assert group["lost_core_seconds"] == {"preempted": 30.5}
    assert group["overhead_core_seconds"] == {"preempted": 4.2, "idle": 1.5}
    assert group["runs"] == 2
    assert group["runs_by_data_centre"] == {"a1": 2, "b1": 1}


def test_groups_by_data_centre(tmp_path):
    """Guard against waste that is assigned to another data centre than its worker's."""
    log = [*worker_lines(), *owner_lines()]
    value = report(tmp_path, log, by="data-centre")
    groups = {group["name"]: group for group in value["data_centres"]}
    assert groups["a1"]["lost_core_seconds"] == {"preempted": 30.5}
    assert groups["b1"]["lost_core_seconds"] == {}
    assert (groups["a1"]["runs"], groups["b1"]["runs"]) == (2, 1)


def test_errors_of_run_times_come_from_completed_first_runs(tmp_path):
    """Guard against errors that compare a part of a task with the whole."""
    log = owner_lines()
    log[3] = log[3].replace('"how": "stopped"', '"how": "done"')
    group = only_group(report(tmp_path, log))
    assert group["expected_error_median"] == pytest.approx(0.1)
    assert group["declared_error_median"] == pytest.approx(0.5)


def test_rejected_and_uncertain_jobs_count_once(tmp_path):
    """Guard against a caller's five attempts that count as five rejected jobs."""
    down = {"reason": "the service does not answer; it is tried again soon", **TERMS}
    load = {"reason": "overload: 4.2 s", "cause": "overload", **TERMS}
    log = [
        *[line(n, JOB_REFUSED, job="j1", **down) for n in range(5)],
        line(6, JOB_REFUSED, job="j2", **load),
        line(6, JOB_REFUSED, job="j3", **load),
        line(7, JOB_ACCEPTED, job="j3", **TERMS),
        line(8, JOB_UNCERTAIN, job="j4", reason="", **TERMS),
        line(9, JOB_REFUSED, job="j5", reason="down", request="ReadJob"),
    ]
    group = only_group(report(tmp_path, log))
    assert group["rejected"] == {"the service does not answer": 1, "overload": 1}
    assert (group["accepted"], group["uncertain"], group["open"]) == (1, 1, 1)


def test_logs_of_two_owners_that_overlap_count_a_run_once(tmp_path):
    """Guard against double waste while a former owner still writes its log."""
    first, second = owner_lines(), [*worker_lines(), *owner_lines(at=0.4)]
    group = only_group(report(tmp_path, entry_lines(), first, second))
    assert (group["accepted"], group["completed"], group["runs"]) == (1, 1, 2)
    assert group["stops"] == {"preempted": 1}
    assert group["lost_core_seconds"] == {"preempted": 30.5}
    assert group["wait_seconds"]["jobs"] == 1
    assert group["wait_seconds"]["maximum"] == pytest.approx(2.0)


def test_runs_that_end_after_their_cancelled_job_count(tmp_path):
    """Guard against lost work of cancelled jobs, whose runs stop after their end."""
    log = owner_lines()[:3]
    log.append(line(4.2, JOB_ENDED, job="j1", **TERMS, state="cancelled", took=4.2))
    log.append(owner_lines()[3])
    group = only_group(report(tmp_path, log))
    assert group["cancelled"] == 1
    assert group["lost_core_seconds"] == {"preempted": 30.5}


def test_state_of_a_job_is_dropped_after_its_end():
    """Guard against memory that grows with each job of a day."""
    account = account_of(
        [entry for n in range(50) for entry in owner_lines(f"j{n}", at=100 * n)]
    )
    assert len(account.jobs) == 1
    assert account.held < 10


def test_truncated_lines_are_skipped_and_counted(tmp_path):
    """Guard against a report that a process killed while it wrote a line prevents."""
    log = owner_lines()
    cut = [log[0][:40], "plain text", "[1]", '{"event": 428}', "", *log, log[3][:-30]]
    value = report(tmp_path, cut)
    assert value["log"]["not_json"] == 3
    assert value["log"]["no_log_record"] == 2
    assert only_group(value)["completed"] == 1


def test_endless_line_takes_bounded_memory(tmp_path):
    """Guard against a file without line breaks that is read as a whole."""
    path = tmp_path / "noise"
    path.write_bytes(b"x" * 20_000_000 + b"\n" + owner_lines()[0].encode())
    counts = ReadCounts()
    with path.open("rb") as log:
        tracemalloc.start()
        assert len(list(read_records([log], counts))) == 1
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert peak < 2_000_000


@pytest.mark.parametrize("late_owner", [False, True])
def test_events_out_of_order_across_files(tmp_path, late_owner):
    """Guard against an end that is read before the acceptance in another file."""
    logs = [owner_lines(), entry_lines()]
    if late_owner:
        # The entry's clock is ahead, so that its record comes long after the end.
        logs[0] = logs[0][1:]
        logs[1] = entry_lines(at=100)
    group = only_group(report(tmp_path, *logs))
    assert (group["accepted"], group["completed"], group["open"]) == (1, 1, 0)


def test_log_that_begins_in_the_middle_of_a_day(tmp_path):
    """Guard against waits of jobs whose acceptance was not read, and lost waste.

    The queue and the organisation are known from the record of the end.
    """
    value = report(tmp_path, owner_lines()[3:], by="organisation")
    group = only_group(value, "organisations")
    assert group["name"] == "peachtree"
    assert (group["accepted"], group["completed"]) == (0, 1)
    assert group["wait_seconds"]["jobs"] == 0
    assert group["lost_core_seconds"] == {"preempted": 30.5}
    assert group["runs_by_data_centre"] == {"unknown": 1}


def test_job_without_an_end_is_open_in_an_unknown_queue(tmp_path):
    """Guard against jobs that vanish as no record tells their queue."""
    group = only_group(report(tmp_path, owner_lines()[1:4]))
    assert (group["name"], group["open"]) == ("unknown", 1)


def test_events_and_fields_of_a_later_version(tmp_path):
    """Guard against logs of a later version that stop the report."""
    log = [
        line(0, 9999, job="j1", shape=[1, 2]),
        line(0, JOB_ACCEPTED, job="j1", **TERMS, tier={"name": "gold"}),
        line(1, RUN_ENDED, job="j1", task=7, run="first"),
        line(2, JOB_ENDED, job="j1", **TERMS, state="superseded", took=2.0),
        line(3, RECORDS_DROPPED, count=4, reason="the rate limit"),
    ]
    value = report(tmp_path, log)
    group = only_group(value)
    assert (group["accepted"], group["superseded"], group["open"]) == (1, 1, 0)
    assert value["log"]["invalid_records"] == 1
    assert value["log"]["records_not_written"] == 4


@pytest.mark.parametrize("state", ["accepted", "rejected", "stops", "wait_seconds"])
@pytest.mark.parametrize("output", ["json", "table"])
def test_end_state_named_like_a_field_of_the_report(tmp_path, state, output):
    """Guard against a state in a log that replaces a figure, or stops the report."""
    log = [
        line(0, JOB_ACCEPTED, job="j1", **TERMS),
        line(2, JOB_ENDED, job="j1", **TERMS, state=state),
    ]
    path = tmp_path / "entry.log"
    path.write_text("\n".join(log), "utf-8")
    done = CliRunner().invoke(main, ["job-report", str(path), "--output", output])
    assert done.exit_code == 0, done.output
    if output == "json":
        assert json.loads(done.output)["queues"][0]["accepted"] == 1


@pytest.mark.parametrize(
    "text",
    [
        line(0, JOB_ACCEPTED, job="\ud800", **TERMS),
        line(
            0, RUN_ENDED, job="j1", task="t", run=1, worker="w", how="done", ran=1e300
        ),
        line(0, JOB_READ_BY_OWNER, job="j1", age=float("nan")),
        line(0, JOB_REFUSED, job="j1", reason="x\x1b[31m\ny", queue="\x1b[2J"),
        "[" * 60_000,
        '{"time": "2026-03-02T06:00:00", "event": 420, "job": "j1"}',
    ],
)
@pytest.mark.parametrize("output", ["table", "json"])
def test_odd_values_are_harmless(text, output):
    """Guard against a traceback, invalid JSON or control characters on a terminal."""
    arguments = ["job-report", "--output", output]
    log = "\n".join([text, *entry_lines("j2")])
    result = CliRunner().invoke(main, arguments, input=log, color=True)
    assert result.exit_code == ExitCode.OK
    assert "\x1b" not in result.stdout
    if output == "json":
        assert "Infinity" not in result.stdout
        assert "NaN" not in result.stdout


def test_open_jobs_are_limited(monkeypatch):
    """Guard against memory that grows with the length of the log."""
    monkeypatch.setattr(service_account, "OPEN_JOB_LIMIT", 10)
    monkeypatch.setattr(service_account, "CLOSED_JOB_LIMIT", 10)
    account = account_of([entry for n in range(50) for entry in entry_lines(f"j{n}")])
    assert (len(account.jobs), len(account.closed), account.closed_early) == (
        10,
        10,
        40,
    )
    account.finish()
    group = account.group(Grouping.QUEUE, "batch")
    assert (group.accepted, group.open) == (50, 50)


def test_records_of_one_job_are_limited(monkeypatch):
    """Guard against a job that runs for days and collects the records of its runs."""
    monkeypatch.setattr(service_account, "HELD_RECORD_LIMIT", 20)
    run = {"job": "j1", "unit": "0.0.0", "workers": ["w1"]}
    account = account_of([line(n, UNIT_PLACED, **run, run=n) for n in range(100)])
    assert account.held <= 20
    assert account.closed_early == 1
    assert account.late > 0


def test_sample_is_limited(monkeypatch):
    """Guard against waits that are all held, and quantiles of only the first ones."""
    monkeypatch.setattr(service_group, "SAMPLE_LIMIT", 100)
    sample = service_group.Sample()
    for value in range(10_000):
        sample.add(float(value))
    assert len(sample.values) == 100
    assert sample.maximum == 9999
    assert sample.median == pytest.approx(5000, abs=1500)


def account_of(lines: list[str]) -> ServiceAccount:
    account = ServiceAccount()
    log = BytesIO("\n".join(lines).encode())
    for record in read_records([log], ReadCounts()):
        add_record(record, account)
    return account


def test_standard_input_and_tables():
    """Guard against a table without the columns that operators read."""
    log = "\n".join([*worker_lines(), *entry_lines(), *owner_lines()])
    result = CliRunner().invoke(main, ["job-report"], input=log)
    assert result.exit_code == ExitCode.OK
    for text in ("QUEUE", "ORGANISATION", "WAIT MEDIAN", "preempted", "peachtree"):
        assert text in result.stdout


@pytest.mark.parametrize("text", ["", "no log\n", '{"a": 1}\n'])
def test_logs_without_a_record_fail(text):
    """Guard against an empty report on the wrong file."""
    result = CliRunner().invoke(main, ["job-report", "-"], input=text)
    assert result.exit_code == ExitCode.NO_RECORD
    assert result.stdout == ""
    assert "name files with" in result.stderr


@pytest.mark.parametrize("arguments", [["/nowhere/x.log"], ["--by", "worker"], ["/"]])
def test_wrong_usage(arguments):
    """Guard against a traceback for files that can't be read."""
    result = CliRunner().invoke(main, ["job-report", *arguments])
    assert result.exit_code == ExitCode.USAGE
    assert result.stdout == ""
