"""Test real processes of the entry instance and the agent on the stand-ins."""

from __future__ import annotations

import json
import signal

import pytest

from wasabispur_platform_standin.executor import CRASH_SPEC
from wasabispur_platform_standin.system import PlatformSystem
from wasabispur_standins.process import ProcessGroup, wait_for

ENDS = ("completed", "failed", "cancelled")


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ProcessGroup(tmp_path_factory.mktemp("platform")) as group:
        system = PlatformSystem(group)
        system.wait_ready()
        yield system
        for child in system.children.values():
            assert "Traceback" not in child.output(), child.output()[-2000:]


def wait_until_completed(
    system: PlatformSystem, job_id: str, entry: str = "entry-0"
) -> None:
    wait_for(
        f"the end of {job_id}",
        lambda: system.state(entry, job_id) in ENDS,
        limit=40,
    )
    assert system.state(entry, job_id) == "completed"


def starts_of(system: PlatformSystem, job_id: str) -> list[str]:
    return sorted(start for start in system.starts() if start.startswith(job_id))


def test_job_is_accepted_run_and_known_at_both_entries(system):
    """Guard against a job path that works only with in-process fakes."""
    job = "00000000000000a1"
    assert system.submit("entry-0", job, tasks=3).status == 200
    wait_until_completed(system, job, "entry-1")
    assert starts_of(system, job) == [f"{job}.0.0.{index} 1" for index in range(3)]
    assert system.submit("entry-1", job, tasks=3).status == 200
    assert len(starts_of(system, job)) == 3


def test_rejected_calls_return_distinct_statuses(system):
    """Guard against one status for different errors of a caller."""
    job = "00000000000000b1"
    assert system.client("GET", "entry-0", job).status == 410
    assert system.client("GET", "entry-0", job, key="unknown").status == 401
    assert system.client("POST", "entry-0", job, {"steps": "none"}).status == 400
    assert system.client("PUT", "entry-0", job, {}).status == 400
    other = system.call("GET", system.front_addresses["entry-0"], "/nowhere/x")
    assert other.status == 404


def test_cancelled_job_stops(system):
    """Guard against a cancellation that is acknowledged but does not stop the tasks."""
    job = "00000000000000c1"
    assert system.submit("entry-0", job, tasks=2, seconds=60).status == 200
    wait_for("the starts", lambda: len(starts_of(system, job)) == 2)
    assert system.client("DELETE", "entry-1", job).status == 200
    wait_for("the end", lambda: system.state("entry-0", job) == "cancelled")


def test_killed_owner_and_agents_lose_no_work(system):
    """Guard against tasks that are lost or run twice when processes are killed."""
    job = "00000000000000d1"
    assert system.submit("entry-0", job, tasks=4, seconds=4).status == 200
    wait_for("the starts", lambda: len(starts_of(system, job)) == 4)
    for name in ("entry-0", "entry-1", "agent-0", "agent-1"):
        system.children[name].signal(signal.SIGKILL)
        system.restart(name)
    system.wait_ready()
    wait_until_completed(system, job)
    assert len(starts_of(system, job)) == 4


def test_graceful_stop_answers_received_requests(system):
    """Guard against a planned stop that drops calls or never ends."""
    system.children["entry-1"].signal(signal.SIGTERM)
    wait_for(
        "the readiness check to fail",
        lambda: (
            system.call("GET", system.ready_addresses["entry-1"], "/v1/ready").status
            == 503
        ),
    )
    job = "00000000000000e1"
    assert system.submit("entry-1", job).status == 200
    assert system.children["entry-1"].process.wait(8) == 0
    system.restart("entry-1")
    system.wait_ready()
    wait_until_completed(system, job)


def test_store_outage_rejects_jobs_and_loses_none(system):
    """Guard against jobs that are lost or run twice in a store outage.

    In the second half the store applies writes and loses its answers.
    """
    job = "00000000000000f1"
    system.faults(status=503)
    wait_for(
        "the entry instance to notice the outage",
        lambda: (
            system.call("GET", system.ready_addresses["entry-0"], "/v1/ready").status
            == 503
        ),
    )
    assert system.submit("entry-0", job).status == 503
    system.faults()
    system.wait_ready()
    system.faults(lose=True)
    first = system.submit("entry-0", job)
    system.faults()
    assert first.status in (200, 504)
    # The lost answers have opened the circuit breaker. Until it closes, the entry
    # instance can't tell whether the job was accepted and answers 504.
    answers: list[int] = []

    def accepted() -> bool:
        answers.append(system.submit("entry-0", job).status)
        return answers[-1] == 200

    wait_for("the job to be accepted", accepted)
    assert set(answers) <= {200, 504}
    wait_until_completed(system, job)
    assert len(starts_of(system, job)) == 1


def test_logs_are_one_json_object_a_line(system):
    """Guard against log lines that log tools can't parse."""
    for name in ("entry-0", "agent-0"):
        for line in system.children[name].output().splitlines():
            record = json.loads(line)
            assert {"time", "level", "event", "process", "text"} <= record.keys()


def test_metrics_are_served_as_text(system):
    """Guard against a metrics address that is not served, and against lost counts."""
    job = "00000000000000a2"
    assert system.submit("entry-0", job).status == 200
    wait_until_completed(system, job)
    seen = ""
    for name in ("entry-0", "entry-1", "agent-0", "agent-1"):
        response = system.http.request("GET", f"http://{system.metrics[name]}/metrics")
        assert response.status == 200
        seen += response.data.decode()
    assert 'job_calls{outcome="done"}' in seen
    assert 'run_orders{outcome="start"}' in seen
    assert "job_time_bucket" in seen


@pytest.mark.parametrize("name", ["entry-0", "agent-0"])
def test_hangup_reads_the_settings_again(system, name):
    """Guard against a process that exits on SIGHUP or ignores a changed file."""
    path = system.group.directory / f"{name}.toml"
    text = path.read_text("utf-8")
    path.write_text(text.replace("max_hold_ms = 6000", "max_hold_ms = 5000"))
    system.children[name].signal(signal.SIGHUP)
    wait_for(
        "the reload",
        lambda: '"changes": "bounds"' in system.children[name].output(),
        system.children[name],
    )
    path.write_text("no settings")
    wait_for(
        "the rejection of the file",
        lambda: '"event": 110' in system.children[name].output(),
        system.children[name],
    )
    path.write_text(text)
    assert system.children[name].process.poll() is None


def test_task_that_crashes_its_executors_is_given_up(tmp_path):
    """Guard against real processes that start such a task again without end."""
    with ProcessGroup(tmp_path) as group:
        system = PlatformSystem(group)
        system.wait_ready()
        job = "00000000000000d2"
        step = {"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": 300}
        body = {"spec": CRASH_SPEC, "steps": [step]}
        assert system.client("POST", "entry-0", job, body).status == 200
        crashes = 0

        def given_up() -> bool:
            nonlocal crashes
            for name in system.executors:
                if system.children[name].process.poll() is not None:
                    crashes += 1
                    system.restart(name)
            return system.state("entry-1", job) == "failed"

        wait_for("the end of the job", given_up, limit=60)
        assert crashes == 3
