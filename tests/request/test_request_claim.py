"""Test the claims that let a non-idempotent request run at most once."""

from __future__ import annotations

import pytest

from wasabispur_core.protocol import Reason
from wasabispur_core.requests.claim import claim_key
from wasabispur_core.requests.outcome import Outcome

from .fake_table import FakeTable
from .network import Network, response_to


@pytest.fixture
def entries():
    """Return two entries with agents of their own and one table service."""
    table = FakeTable()
    return Network(table=table, name="x"), Network(table=table, name="y")


def finish_calls(network: Network, ending: str = "complete") -> None:
    for agent_id, node in network.agents.items():
        for attempt_id in list(node.calls):
            network.finish(agent_id, attempt_id, ending)
    network.settle()


def pass_time(network: Network, seconds: int = 12) -> None:
    for _ in range(seconds):
        network.clock.advance(1.0)
        network.settle()


def test_second_request_gets_the_response_of_the_first_run(entries):
    """Guard against a second run through another entry."""
    first, second = entries
    first.submit("order", key="k")
    first.settle()
    finish_calls(first)
    request_id = second.submit("order", key="k")
    second.settle()
    (reply,) = second.replies[request_id]
    assert reply.outcome is Outcome.COMPLETED
    assert reply.body == response_to(b"k")
    assert not second.runs


def test_second_request_waits_for_the_first_run(entries):
    """Guard against the outcome "unknown" although the first run ends in time."""
    first, second = entries
    first.submit("order", key="k")
    first.settle()
    request_id = second.submit("order", key="k")
    second.settle()
    assert second.outcome(request_id) is None
    finish_calls(first)
    pass_time(second, 6)
    assert second.outcome(request_id) is Outcome.COMPLETED


@pytest.mark.parametrize("state", ["lost", "running"])
def test_second_request_is_unknown_while_the_first_has_no_result(entries, state):
    """Guard against a second run of a request that may have run."""
    first, second = entries
    first.submit("order", key="k")
    first.settle()
    if state == "lost":
        finish_calls(first, "lost")
    request_id = second.submit("order", key="k")
    pass_time(second)
    assert second.outcome(request_id) is Outcome.UNKNOWN
    assert not second.runs


def test_claim_of_a_request_that_did_not_run_is_released(entries):
    """Guard against a key that stays blocked without any run."""
    first, second = entries
    for node in first.agents.values():
        node.state.leaving = True
    request_id = first.submit("order", key="k")
    first.settle()
    assert first.outcome(request_id) is Outcome.NOT_RUN
    second.submit("order", key="k")
    second.settle()
    assert sum(second.runs.values()) == 1


def test_late_release_does_not_overwrite_the_next_claim(entries):
    """Guard against a second run after a late release overwrites the next claim."""
    first, second = entries
    for node in first.agents.values():
        node.state.leaving = True
    first.submit("order", key="k")
    first.answer_table()
    while first.packets:
        first.deliver(first.packets.pop(0))
    late = first.table_calls[0]
    first.answer_table()
    second.submit("order", key="k")
    second.settle()
    first.table.answer(late)
    request_id = first.submit("order", key="k")
    pass_time(first)
    assert first.outcome(request_id) is Outcome.UNKNOWN
    assert sum(second.runs.values()) == 1


@pytest.mark.parametrize("mode", ["down", "dropped", "lost"])
def test_request_is_refused_as_not_run_while_the_table_is_down(mode):
    """Guard against a start without a confirmed claim."""
    network = Network()
    network.table_mode = mode
    request_id = network.submit("order")
    network.settle()
    (reply,) = network.replies[request_id]
    assert reply.outcome is Outcome.NOT_RUN
    assert reply.reason == Reason.TABLE_UNAVAILABLE.value
    assert not network.runs


def test_claim_with_a_lost_answer_is_released_later():
    """Guard against a key that stays blocked by an unconfirmed claim."""
    network = Network()
    network.table_mode = "lost"
    network.submit("order", key="k")
    network.settle()
    network.table_mode = "normal"
    pass_time(network)
    request_id = network.submit("order", key="k")
    network.settle()
    assert network.runs[request_id] == 1
    assert len(network.entry.requests) == 1


def test_result_is_stored_when_the_table_returns():
    """Guard against losing a result because the table was down when it arrived."""
    network = Network()
    network.submit("order", key="k")
    network.settle()
    network.table_mode = "down"
    finish_calls(network)
    network.table_mode = "normal"
    pass_time(network)
    request_id = network.submit("order", key="k")
    network.settle()
    assert network.outcome(request_id) is Outcome.COMPLETED
    assert network.runs[request_id] == 0


def test_claim_checks_end_in_an_endless_outage():
    """Guard against requests that stay in memory forever."""
    network = Network()
    network.submit("order")
    network.settle()
    network.table_mode = "down"
    finish_calls(network)
    pass_time(network, 2000)
    assert not network.entry.requests


def test_idempotent_requests_need_no_table():
    """Guard against a table outage that stops idempotent requests."""
    network = Network()
    network.table_mode = "down"
    request_id = network.submit("urgent")
    network.settle()
    finish_calls(network)
    assert network.outcome(request_id) is Outcome.COMPLETED


def test_key_of_another_request_is_refused(entries):
    """Guard against a caller that gets the response to another request."""
    first, second = entries
    first.submit("order", key="k")
    first.settle()
    finish_calls(first)
    request_id = second.submit("order", key="k", body=b"other")
    second.settle()
    (reply,) = second.replies[request_id]
    assert reply.outcome is Outcome.NOT_RUN
    assert reply.reason == Reason.KEY_REUSED.value


def test_two_organisations_never_share_a_claim_key():
    """Guard against a response that reaches another organisation."""
    assert claim_key("a/b", "c") != claim_key("a", "b/c")
