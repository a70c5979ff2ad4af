"""Run the demo: a request, a job and a bundle on a small system of processes."""

from __future__ import annotations

import json
import shutil
import signal
import subprocess
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from types import FrameType

import urllib3

from wasabispur_core.error import WasabispurError
from wasabispur_core.work_class import DEFAULT_CLASSES

from .demo_system import ACCELERATORS, Body, DemoSystem, Entry, run_command, SERVICE
from .process import ProcessError, ProcessGroup

ORGANISATION = "prairie-breeze"
PROPOSER = "ana"
REVIEWER = "ben"

JOB_RUN_TIME = 0.5
"""Seconds that each task of the demo's job runs."""

JOB_TIMEOUT = 60.0
"""Seconds within which the demo's job has to end."""

ACTIVATION_TIMEOUT = 30.0
"""Seconds within which the accepted bundle has to be in force on every process."""

COMPLETED = "completed"
JOB_ENDS = (COMPLETED, "failed", "cancelled", "rejected", "held")

EXIT_INTERRUPTED = 130
DEMO_ERRORS = (
    WasabispurError,
    urllib3.exceptions.HTTPError,
    subprocess.SubprocessError,
    OSError,
    ValueError,
)
"""Errors that the demo reports without a traceback; ValueError is malformed JSON."""


class Interrupted(BaseException):
    """Report that the demo received SIGTERM or SIGINT."""


def run_demo() -> int:
    """Run the demo and return its exit code.

    All child processes have ended on return. After an error the directory with their
    output is kept.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _interrupt)
    directory = Path(tempfile.mkdtemp(prefix="wasabispur-demo-"))
    try:
        with ProcessGroup(directory) as group:
            run_scenarios(group)
    except Interrupted:
        print("interrupted; all processes have ended", file=sys.stderr)
        shutil.rmtree(directory)
        return EXIT_INTERRUPTED
    except DEMO_ERRORS as error:
        print(f"error: {error}", file=sys.stderr)
        print(f"The output of the processes is in {directory}.", file=sys.stderr)
        return 1
    shutil.rmtree(directory)
    print("All processes have ended.")
    return 0


def run_scenarios(group: ProcessGroup) -> None:
    """Start the system, then run the request, the job and the bundle scenario."""
    system = DemoSystem(group)
    for operator in (PROPOSER, REVIEWER):
        system.operators.append(make_key(group.directory, operator))
    system.start()
    print_line(
        f"Started {len(group.children)} processes: {len(system.entries)} entries and "
        f"{len(system.agents)} agents in 2 regions, with stand-ins for the platform."
    )
    run_request_scenario(system)
    run_job_scenario(system)
    run_bundle_scenario(system)


def run_request_scenario(system: DemoSystem) -> None:
    """Send one request and check that exactly one endpoint ran it, once."""
    entry = system.entries[0]
    answer = system.wait("an endpoint", lambda: try_request(system, entry))
    if answer.data != b"truck 12 to Brandon":
        raise ProcessError(
            "the body of the response differs from the request's", "report the fault"
        )
    runs = [
        len(system.call("GET", f"{url}/runs?path=/plan")[1]["runs"])
        for url in system.endpoint_urls
    ]
    if sum(runs) != 1:
        raise ProcessError(f"the request ran {sum(runs)} times", "report the fault")
    outcome = answer.headers["Wasabispur-Outcome"]
    print_line(f"Request: {outcome} through {entry.name}; it ran once.")


def try_request(system: DemoSystem, entry: Entry) -> urllib3.BaseHTTPResponse | None:
    """Return the completed response, or None while no endpoint is attached."""
    answer = system.http.request(
        "POST",
        f"{entry.url}/v1/services/{SERVICE}/plan",
        body=b"truck 12 to Brandon",
        headers={
            "Wasabispur-Organisation": ORGANISATION,
            "Wasabispur-Class": "urgent",
        },
        retries=False,
        timeout=30.0,
    )
    if answer.headers.get("Wasabispur-Outcome") == "not-run":
        return None
    if answer.status != 200:
        raise ProcessError(
            f"the request got status {answer.status}: {answer.data.decode()}",
            "see the entry's log",
        )
    return answer


def run_job_scenario(system: DemoSystem) -> None:
    """Submit a gang at one entry and wait for its end at the other entry."""
    first, second = system.entries[0], system.entries[-1]
    body = {
        "organisation": ORGANISATION,
        "class": "deferrable",
        "tasks": 2,
        "accelerators": ACCELERATORS,
        "command": json.dumps({"run_time": JOB_RUN_TIME, "result": "forecast.csv"}),
    }
    job_id = submit_job(system, first, body)
    job = system.wait(
        f"the end of job {job_id}",
        lambda: ended_job(system, second, job_id),
        limit=JOB_TIMEOUT,
    )
    starts = sum(
        len(system.call("GET", f"{url}/starts")[1]["starts"])
        for url in system.worker_urls
    )
    if job["state"] != COMPLETED or starts != body["tasks"]:
        raise ProcessError(
            f"job {job_id} is {job['state']} ({job['reason']}) after {starts} starts",
            "see the entries' logs",
        )
    print_line(
        f"Job: submitted at {first.name}, {job['state']} as {second.name} shows; "
        f"{starts} tasks started once each on {', '.join(sorted(set(job['workers'])))}."
    )


def submit_job(system: DemoSystem, entry: Entry, body: Body) -> str:
    """Submit a job, retry while the entry answers 503, and return the job's id."""

    def submit() -> Body | None:
        status, answer = system.call("POST", f"{entry.url}/v1/jobs", body)
        if status == 503:
            return None
        if status != 201:
            raise ProcessError(
                f"the submission got status {status}: {answer}", "see the entry's log"
            )
        return answer

    return str(system.wait("the acceptance of a job", submit)["job_id"])


def ended_job(system: DemoSystem, entry: Entry, job_id: str) -> Body | None:
    """Return the job if it has ended, else None."""
    status, job = system.call("GET", f"{entry.url}/v1/jobs/{job_id}")
    if status != 200 or job["state"] not in JOB_ENDS:
        return None
    return job


def make_key(directory: Path, operator: str) -> Body:
    """Create an operator's key and return the operator's item for the settings."""
    path = str(directory / f"{operator}.key")
    return run_command(["key", "generate", path, "--operator", operator])


def run_bundle_scenario(system: DemoSystem) -> None:
    """Propose, review, sign off and accept a bundle, and wait until it is in force."""
    first, second = system.entries[0], system.entries[-1]
    directory = system.group.directory
    content = directory / "bundle.json"
    content.write_text(json.dumps(bundle_content()), encoding="utf-8")
    change = system.command(
        first, "bundle", "propose", str(content), "--operator", PROPOSER
    )
    change_id = change["change_id"]
    step = ("--operator", REVIEWER)
    system.command(second, "bundle", "review", change_id, *step)
    key = str(directory / f"{REVIEWER}.key")
    system.command(second, "bundle", "sign-off", change_id, *step, "--key", key)
    system.command(first, "bundle", "accept", change_id, "--operator", PROPOSER)
    print_line(
        f"Bundle: proposed and accepted by {PROPOSER} at {first.name}, reviewed and "
        f"signed off by {REVIEWER} at {second.name}."
    )
    expected = {entry.name for entry in system.entries} | set(system.agents)
    members = system.wait(
        "the bundle in force on every process",
        lambda: all_in_force(system, expected),
        limit=ACTIVATION_TIMEOUT,
    )
    for member in members:
        print_line(
            f"  version {member['bundle_version']} in force on {member['member_id']}"
        )


def all_in_force(system: DemoSystem, expected: set[str]) -> list[Body] | None:
    """Return the members if version 1 is in force on all expected ones, else None."""
    members = system.command(system.entries[0], "bundle", "in-force")["members"]
    current = {m["member_id"] for m in members if m["bundle_version"] == 1}
    return members if current >= expected else None


def bundle_content() -> Body:
    """Return the content of a small bundle."""
    return {
        "schema": 1,
        "organisations": [{"name": ORGANISATION}],
        "classes": [asdict(work_class) for work_class in DEFAULT_CLASSES],
        "reclaim_bound": 30.0,
    }


def print_line(line: str) -> None:
    """Print one line and flush it."""
    print(line, flush=True)


def _interrupt(number: int, frame: FrameType | None) -> None:
    # A second signal must not interrupt the shutdown of the child processes.
    for repeated in (signal.SIGTERM, signal.SIGINT):
        signal.signal(repeated, signal.SIG_IGN)
    raise Interrupted
