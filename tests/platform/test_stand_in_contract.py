"""Check the endpoint and worker stand-ins over HTTP."""

from __future__ import annotations

import asyncio
import json

import pytest
import urllib3
from tests.platform.harness import running_stand_in

from wasabispur_standins.endpoint import EndpointRoot, EndpointState
from wasabispur_standins.process import wait_for
from wasabispur_standins.worker import WorkerRoot
from wasabispur_standins.worker_state import WorkerState

FAULT_OUTCOMES = {
    "none": (None, 200, 1),
    "outage": ({"kind": "outage"}, 503, 0),
    "fail": ({"kind": "fail"}, 500, 1),
    "cut": ({"kind": "cut"}, None, 0),
    "lose_answer": ({"kind": "lose_answer"}, None, 1),
    "truncate": ({"kind": "truncate"}, None, 1),
    "silent": ({"kind": "silent"}, None, 0),
    "silent_after": ({"kind": "silent", "effect": True}, None, 1),
    "duplicate_request": ({"kind": "duplicate_request"}, 200, 2),
    "garbage": ({"kind": "garbage"}, 200, 1),
}


class StandInClient:
    """Call a stand-in; the status is None if no complete response arrives."""

    def __init__(self, port: int) -> None:
        self.pool = urllib3.connection_from_url(f"http://127.0.0.1:{port}")

    def call(self, method, path, body=None):
        """Return the status and the body."""
        data = body if body is None or isinstance(body, bytes) else json.dumps(body)
        try:
            timeout = urllib3.Timeout(connect=5.0, read=2.0)
            answer = self.pool.urlopen(
                method, path, body=data, retries=False, timeout=timeout
            )
        except urllib3.exceptions.HTTPError:
            return None, b""
        return answer.status, answer.data

    def json(self, method, path, body=None):
        """Return the status and the JSON body."""
        status, data = self.call(method, path, body)
        return status, json.loads(data)


def run_stand_in_scenario(name, state, build_root, scenario):
    """Run a scenario in a thread against a stand-in."""

    async def main():
        async with running_stand_in(name, state, build_root) as stand_in:
            client = StandInClient(stand_in.listener.port)
            try:
                await asyncio.to_thread(scenario, client)
            finally:
                client.pool.close()

    asyncio.run(main())


def start_body(**changes):
    """Return the body of a request that starts a task."""
    command = json.dumps({"run_time": 60, "result": "r"})
    body = {"task_id": "t", "accelerators": 2, "command": command, "lease": 60}
    return {**body, **changes}


@pytest.mark.parametrize("name", FAULT_OUTCOMES)
def test_endpoint_counts_every_run_independent_of_the_response(name):
    """Guard against a run that the endpoint stand-in does not count.

    Tests of at-most-once delivery could not detect a second run then.
    """
    fault, status, runs = FAULT_OUTCOMES[name]

    def scenario(client):
        if fault is not None:
            assert client.call("PUT", "/faults", {"faults": [fault]})[0] == 200
        assert client.call("POST", "/order/1", b"part 7")[0] == status
        client.call("PUT", "/faults", {"faults": []})
        report = client.json("GET", "/runs?path=/order")[1]
        assert report["total"] == runs
        assert [run["path"] for run in report["runs"]] == ["/order/1"] * runs

    run_stand_in_scenario("endpoint", EndpointState(), EndpointRoot, scenario)


def test_faults_are_validated_and_chosen_by_path_and_count():
    """Guard against a misspelt fault, without which a test would pass in vain."""

    def scenario(client):
        unknown = client.json("PUT", "/faults", {"faults": [{"kind": "outagee"}]})
        assert unknown[0] == 400
        assert set(unknown[1]["error"]) == {"kind", "message", "remedy"}
        fault = {"kind": "outage", "path": "/a", "skip": 1, "count": 1}
        client.call("PUT", "/faults", {"faults": [fault]})
        statuses = [client.call("GET", path)[0] for path in ("/a", "/b", "/a", "/a")]
        assert statuses == [200, 200, 503, 200]

    run_stand_in_scenario("endpoint", EndpointState(), EndpointRoot, scenario)


def test_worker_stand_in_follows_the_protocol():
    """Guard against a worker stand-in that deviates from the worker protocol."""

    def scenario(client):
        assert client.json("POST", "/v1/tasks", start_body())[1]["state"] == "running"
        assert client.json("POST", "/v1/tasks", start_body())[0] == 200
        assert len(client.json("GET", "/starts")[1]["starts"]) == 1
        full = client.json("POST", "/v1/tasks", start_body(task_id="u", accelerators=7))
        assert (full[0], full[1]["error"]["kind"]) == (409, "NoCapacity")
        assert client.json("POST", "/v1/tasks/t/renew", {"lease": 30})[0] == 200
        assert client.json("POST", "/v1/tasks/t/throttle", {"share": 0.5})[0] == 200
        saved = client.json("POST", "/v1/tasks/t/checkpoint")[1]["checkpoint"]
        assert saved.startswith("checkpoint:t:")
        assert client.json("POST", "/v1/tasks/t/stop")[1]["state"] == "stopped"
        assert client.json("POST", "/v1/tasks/t/renew", {"lease": 30})[0] == 409
        assert len(client.json("GET", "/v1/tasks")[1]["tasks"]) == 1
        assert client.json("GET", "/v1/tasks/none")[0] == 404
        assert client.json("GET", "/v1/usage")[0] == 200

    run_stand_in_scenario("worker", WorkerState(), WorkerRoot, scenario)


@pytest.mark.parametrize(
    "body",
    [b"{", b"[]", {}, start_body(lease=-1), start_body(command="x"), start_body(x=1)],
)
def test_malformed_calls_to_the_worker_give_a_typed_error(body):
    """Guard against an untyped error or a task start for an invalid body."""

    def scenario(client):
        status, answer = client.json("POST", "/v1/tasks", body)
        assert status == 400
        assert answer["error"]["remedy"]
        assert client.json("GET", "/starts")[1]["starts"] == []

    run_stand_in_scenario("worker", WorkerState(), WorkerRoot, scenario)


def test_worker_stand_in_can_fail_ignore_stops_and_stop_answering():
    """Guard against tests of reclaim and quarantine without any faulty worker."""

    def scenario(client):
        faults = [{"kind": "ignore_stops"}, {"kind": "fail_tasks"}]
        client.call("PUT", "/faults", {"faults": faults})
        quick = start_body(task_id="q", command='{"run_time": 0}')
        client.call("POST", "/v1/tasks", quick)
        assert client.json("GET", "/v1/tasks/q")[1]["state"] == "failed"
        client.call("POST", "/v1/tasks", start_body())
        assert client.json("POST", "/v1/tasks/t/stop")[1]["state"] == "running"
        client.call("PUT", "/faults", {"faults": [{"kind": "silent"}]})
        assert client.call("GET", "/v1/tasks")[0] is None

    run_stand_in_scenario("worker", WorkerState(), WorkerRoot, scenario)


def test_refused_port_reopens_after_the_fault_time():
    """Guard against a refused port that stays closed, or that never closes."""

    def scenario(client):
        faults = [{"kind": "refuse", "seconds": 0.5}]
        assert client.call("PUT", "/faults", {"faults": faults})[0] == 200
        wait_for("the refusal", lambda: client.call("GET", "/runs")[0] is None)
        wait_for("the open port", lambda: client.call("GET", "/runs")[0] == 200)

    run_stand_in_scenario("endpoint", EndpointState(), EndpointRoot, scenario)


def test_requests_above_the_rate_limit_get_429():
    """Guard against client tests in which the rate limit has no effect."""

    def scenario(client):
        faults = [{"kind": "rate_limit", "per_second": 0.001}]
        client.call("PUT", "/faults", {"faults": faults})
        assert [client.call("GET", "/a")[0] for _ in range(3)] == [200, 429, 429]

    run_stand_in_scenario("endpoint", EndpointState(), EndpointRoot, scenario)
