"""Test the outcomes of requests when processes are killed, paused or stopped."""

from __future__ import annotations

import json
import signal
from concurrent.futures import Future

import pytest
import urllib3

from wasabispur_standins.port import free_port

from .link_system import HOST, LinkSystem, STOP_TIMEOUT, wait_for

INTERVAL = 0.3
"""Heartbeat interval in seconds."""


class RequestSystem(LinkSystem):
    """Extend the link system by a table service and non-idempotent requests."""

    def __enter__(self) -> RequestSystem:
        self.table_port = free_port()
        arguments = ("wasabispur_standins", "table-service", "--port")
        self.start("table", *arguments, str(self.table_port))
        wait_for(self.table_answers)
        super().__enter__()
        return self

    def start_binary(self, module, name, settings, arguments) -> None:
        if name == "entry":
            settings["table_url"] = f"http://{HOST}:{self.table_port}"
        super().start_binary(module, name, settings, arguments)

    def order(self, path, key, deadline_ms=8_000) -> urllib3.BaseHTTPResponse:
        """Send one non-idempotent request and return its response."""
        return self.http.request(
            "POST",
            f"http://{HOST}:{self.http_port}/v1/services/tags{path}",
            body=b"order",
            headers={
                "Wasabispur-Organisation": "peachtree",
                "Wasabispur-Class": "order",
                "Wasabispur-Deadline-Ms": str(deadline_ms),
                "Idempotency-Key": key,
            },
        )

    def order_later(self, path, key) -> Future:
        """Send one non-idempotent request from a thread; return its future response."""
        return self.callers.submit(self.order, path, key)

    def table_answers(self) -> bool:
        """Return whether the table service answers."""
        url = f"http://{HOST}:{self.table_port}/faults"
        try:
            return self.http.request("GET", url, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def fault(self, *faults) -> None:
        """Replace the faults of the table service."""
        url = f"http://{HOST}:{self.table_port}/faults"
        body = json.dumps({"faults": list(faults)})
        assert self.http.request("PUT", url, body=body).status == 200

    def ready(self) -> int:
        """Return the status of the readiness check."""
        return self.http.request("GET", f"http://{HOST}:{self.http_port}/readyz").status

    def kill(self, name) -> None:
        """Kill one process."""
        self.processes[name].kill()
        self.processes[name].wait(STOP_TIMEOUT)


@pytest.fixture
def system(tmp_path):
    with RequestSystem(tmp_path, INTERVAL) as running:
        yield running


def outcome(response) -> str:
    return response.headers["Wasabispur-Outcome"]


def test_killed_agent_makes_the_order_unknown_and_no_second_run(system):
    """Guard against a wrong "not run", or a second run, after an agent crashed."""
    reply = system.order_later("/killed?delay_ms=1500", "k1")
    wait_for(lambda: system.runs("/killed"))
    system.kill("agent")
    system.start_agent()
    assert outcome(reply.result(20)) == "unknown"
    assert outcome(system.order("/killed?delay_ms=1500", "k1", 2_000)) == "unknown"
    assert len(system.runs("/killed")) == 1


def test_killed_entry_leaves_a_claim_that_prevents_a_second_run(system):
    """Guard against a second run by an entry that finds only the stored claim."""
    reply = system.order_later("/entry?delay_ms=1500", "k2")
    wait_for(lambda: system.runs("/entry"))
    system.kill("entry")
    with pytest.raises(urllib3.exceptions.HTTPError):
        reply.result(20)
    system.start_entry()
    wait_for(lambda: answers(system))
    assert outcome(system.order("/entry?delay_ms=1500", "k2", 2_000)) == "unknown"
    assert len(system.runs("/entry")) == 1


def answers(system) -> bool:
    """Return whether a request through the entry completes."""
    try:
        return system.call("/warm").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def test_paused_agent_starts_nothing_after_its_permits_expired(system):
    """Guard against a late start of a request that was reported as not run."""
    agent = system.processes["agent"]
    agent.send_signal(signal.SIGSTOP)
    try:
        response = system.order("/paused", "k3", 4_000)
    finally:
        agent.send_signal(signal.SIGCONT)
    assert outcome(response) == "not-run"
    wait_for(lambda: system.call("/after").status == 200)
    assert system.runs("/paused") == []


def test_stored_response_is_given_to_a_second_request(system):
    """Guard against a second run of an order whose caller didn't get the response."""
    first = system.order("/stored", "k4")
    second = system.order("/stored", "k4")
    assert (first.status, second.status) == (200, 200)
    assert second.data == first.data == b"order"
    assert len(system.runs("/stored")) == 1


def test_table_outage_refuses_orders_and_leaves_urgent_requests(system):
    """Guard against orders without a claim, and urgent requests that need the store."""
    system.fault({"kind": "outage"})
    assert outcome(system.order("/outage", "k5", 3_000)) == "not-run"
    assert system.call("/urgent").status == 200
    assert system.runs("/outage") == []
    system.fault()
    wait_for(lambda: system.order("/outage", "k6", 3_000).status == 200)
    assert len(system.runs("/outage")) == 1


def test_lost_answer_of_the_claim_leads_to_one_run(system):
    """Guard against a second run when the reply to a written claim is lost."""
    lost = {"kind": "lose_answer", "method": "POST", "path": "/v1/transactions"}
    system.fault(lost | {"count": 1})
    first = system.order("/lost", "k7")
    second = system.order("/lost", "k7")
    assert outcome(first) == outcome(second) == "completed"
    assert len(system.runs("/lost")) == 1


def test_agent_drains_without_cutting_running_requests(system):
    """Guard against a response that is lost by the planned stop of an agent."""
    reply = system.call_later("/agent-drain?delay_ms=5000")
    wait_for(lambda: system.runs("/agent-drain"))
    agent = system.processes["agent"]
    agent.terminate()
    wait_for(lambda: outcome(system.call("/late", deadline_ms=1_000)) == "not-run")
    runs = len(system.runs("/late"))
    assert outcome(system.call("/late", deadline_ms=1_000)) == "not-run"
    assert len(system.runs("/late")) == runs
    response = reply.result(20)
    assert response.status == 200
    assert agent.wait(STOP_TIMEOUT) == 0


def test_entry_drains_with_readiness_first(system):
    """Guard against a request that is aborted by the planned stop of an entry."""
    reply = system.call_later("/entry-drain?delay_ms=5000")
    wait_for(lambda: system.runs("/entry-drain"))
    entry = system.processes["entry"]
    entry.terminate()
    wait_for(lambda: system.ready() == 503)
    wait_for(lambda: system.call("/late").status == 503)
    runs = len(system.runs("/late"))
    refused = system.call("/late")
    assert outcome(refused) == "not-run"
    assert json.loads(refused.data)["error"]["message"] == "entry is leaving"
    response = reply.result(20)
    assert response.status == 200
    assert len(system.runs("/late")) == runs
    assert entry.wait(STOP_TIMEOUT) == 0
