"""Test the burn report against the requests that the endpoint ran."""

from __future__ import annotations

import json
import subprocess
import sys

from tests.process.link_system import HOST, LinkSystem

INTERVAL = 0.3
"""Heartbeat interval in seconds."""

GOOD_REQUESTS = 6
LATE_REQUESTS = 2
TARGET = 0.9


def report(system) -> dict:
    command = ["-m", "wasabispur", "report", "burn", "--output", "json"]
    command += ["--entry", f"http://{HOST}:{system.http_port}"]
    command += ["--objective", f"urgent={TARGET}"]
    done = subprocess.run(
        [sys.executable, *command], capture_output=True, check=True, timeout=30
    )
    lines = json.loads(done.stdout)["lines"]
    return {line["window"]: line for line in lines}["6 h/3 d"]


def test_burn_agrees_with_the_endpoint(tmp_path):
    """Guard against a report whose counts differ from the requests that were sent."""
    with LinkSystem(tmp_path, INTERVAL) as system:
        before = report(system)
        for number in range(GOOD_REQUESTS):
            reply = system.call(f"/good/{number}")
            assert reply.headers["Wasabispur-Outcome"] == "completed"
        for number in range(LATE_REQUESTS):
            reply = system.call(f"/late/{number}?delay_ms=5000", deadline_ms=2500)
            assert reply.headers["Wasabispur-Outcome"] == "unknown"
        after = report(system)
        assert len(system.runs("/good")) == GOOD_REQUESTS
        assert len(system.runs("/late")) == LATE_REQUESTS
        assert after["requests"] - before["requests"] == GOOD_REQUESTS + LATE_REQUESTS
        bad_before = round(before["long_rate"] * before["requests"] * (1 - TARGET))
        bad_after = round(after["long_rate"] * after["requests"] * (1 - TARGET))
        assert bad_after - bad_before == LATE_REQUESTS
