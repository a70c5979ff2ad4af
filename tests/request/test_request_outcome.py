"""Test the replies to callers when messages, streams and agents are lost."""

from __future__ import annotations

import pytest

from wasabispur_core.protocol import Reason
from wasabispur_core.requests import request, request_history
from wasabispur_core.requests.outcome import Outcome
from wasabispur_core.requests.request_history import LookUpRequest
from wasabispur_core.requests.request_message import RequestReceived

from .network import Network, response_to


def running(network: Network, work_class: str = "order") -> tuple[str, str]:
    """Run a request at its endpoint, and return the ids of request and agent."""
    request_id = network.submit(work_class)
    network.settle()
    agent_id = network.entry.requests[request_id].agent_id
    assert network.agents[agent_id].calls
    return request_id, agent_id


def test_request_without_an_endpoint_is_not_run_for_that_reason():
    """Guard against a reply that blames the deadline for a missing endpoint."""
    network = Network(agents=0)
    request_id = network.submit()
    (reply,) = network.replies[request_id]
    assert reply.outcome is Outcome.NOT_RUN
    assert reply.reason == Reason.NO_ENDPOINT.value


def test_result_that_ended_while_the_stream_was_down_reaches_the_caller():
    """Guard against the outcome "unknown" although the agent kept the response."""
    network = Network(agents=1)
    request_id, agent_id = running(network)
    network.detach(agent_id)
    assert network.outcome(request_id) is None
    network.finish(agent_id, f"{request_id}.1")
    network.packets.clear()
    network.attach(agent_id)
    network.settle()
    (reply,) = network.replies[request_id]
    assert reply.outcome is Outcome.COMPLETED
    assert reply.body == response_to(request_id.encode())


def test_running_request_goes_on_after_a_replaced_stream():
    """Guard against an attempt that is not resolved after a stream was replaced."""
    network = Network(agents=1)
    request_id, agent_id = running(network)
    network.attach(agent_id)
    network.settle()
    assert network.entry.requests[request_id].lifecycle.state == "running"
    network.finish(agent_id, f"{request_id}.1")
    network.settle()
    assert network.outcome(request_id) is Outcome.COMPLETED


def test_restarted_agent_makes_a_non_idempotent_request_unknown():
    """Guard against the outcome "not run" after the agent lost its records."""
    network = Network()
    request_id, agent_id = running(network)
    network.restart(agent_id)
    network.settle()
    (reply,) = network.replies[request_id]
    assert reply.outcome is Outcome.UNKNOWN
    assert reply.reason == Reason.AGENT_RESTARTED.value


def test_start_that_was_lost_with_its_stream_is_proved_not_run():
    """Guard against the outcome "unknown" although the permit was never used."""
    network = Network(agents=1)
    request_id = network.submit("order")
    network.answer_table()
    while network.entry.requests[request_id].lifecycle.state != "running":
        network.deliver(network.packets.pop(0))
    network.packets.clear()
    network.detach("a0")
    network.attach("a0")
    network.settle()
    assert network.outcome(request_id) is Outcome.NOT_RUN


def test_attempt_that_may_have_run_outweighs_a_later_refusal():
    """Guard against "not run" when only the last of the attempts did not run."""
    network = Network()
    network.entry.budget(network.entry.classes["urgent"]).balance = 9.0
    request_id, agent_id = running(network, "urgent")
    network.finish(agent_id, f"{request_id}.1", "lost")
    for node in network.agents.values():
        node.state.leaving = True
    for _ in range(20):
        network.settle()
        network.clock.advance(1.0)
    assert network.outcome(request_id) is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("work_class", "expected"), [("urgent", Outcome.COMPLETED), ("order", None)]
)
def test_only_an_idempotent_request_is_repeated_while_its_agent_is_away(
    work_class, expected
):
    """Guard against a second run, and against waiting when a retry is allowed."""
    network = Network()
    network.entry.budget(network.entry.classes[work_class]).balance = 9.0
    request_id, agent_id = running(network, work_class)
    network.detach(agent_id)
    for _ in range(5):
        network.clock.advance(1.0)
        network.settle()
    for other_id, node in network.agents.items():
        for attempt_id in list(node.calls):
            if other_id != agent_id:
                network.finish(other_id, attempt_id)
    network.settle()
    assert network.outcome(request_id) is expected


def test_look_up_returns_the_state_and_later_the_outcome():
    """Guard against a look-up with a premature or a missing outcome."""
    network = Network(agents=1)
    request_id, agent_id = running(network, "urgent")

    def look_up(wanted: str):
        message = LookUpRequest(lookup_id="l", request_id=wanted)
        (answer,) = request.decide(message, network.entry, network.clock.now())
        return answer.status

    assert look_up(request_id).outcome is None
    assert look_up(request_id).state == "running"
    network.finish(agent_id, f"{request_id}.1")
    network.settle()
    assert look_up(request_id).outcome is Outcome.COMPLETED
    assert look_up("foreign") is None


def test_history_of_ended_requests_is_bounded(monkeypatch):
    """Guard against memory growth by ended requests."""
    monkeypatch.setattr(request_history, "HISTORY_LIMIT", 5)
    network = Network(agents=0)
    for _ in range(20):
        network.submit()
    assert len(network.entry.history.ended) == 5


@pytest.mark.parametrize(
    ("work_class", "key", "reason"),
    [
        ("unheard", "k", Reason.UNKNOWN_CLASS),
        ("order", "", Reason.KEY_MISSING),
    ],
)
def test_request_that_breaks_a_rule_is_rejected_with_its_reason(
    work_class, key, reason
):
    """Guard against an exception that leaves the caller without a reply."""
    network = Network(agents=1)
    message = RequestReceived(
        request_id="r",
        organisation="peachtree",
        work_class=work_class,
        service="tag-composer",
        method="POST",
        path="/",
        headers={},
        body=b"",
        deadline=1.0,
        idempotency_key=key,
    )
    network.tell_entry(message)
    (reply,) = network.replies["r"]
    assert reply.outcome is Outcome.NOT_RUN
    assert reply.reason == reason.value
