"""Test what callers are told when the agent of their request is restarted."""

from __future__ import annotations

import pytest

from wasabispur_core.protocol import RequestPermit, StartAttempt
from wasabispur_core.requests.outcome import Outcome

from .network import Network


def deliver_until(network: Network, kind: type) -> None:
    """Deliver messages in order until the next one is of a kind."""
    while network.packets or network.table_calls:
        while network.table_calls:
            network.answer_table()
        if isinstance(network.packets[0].message, kind):
            return
        network.deliver(network.packets.pop(0))


def test_run_of_a_former_agent_is_unknown_and_its_key_stays_claimed():
    """Guard against "not run", and a second run, for work that an agent forgot."""
    network = Network(agents=1)
    first = network.submit("order", key="o1")
    network.settle()
    assert network.runs[first] == 1
    network.restart("a0")
    network.settle()
    assert network.outcome(first) is Outcome.UNKNOWN
    second = network.submit("order", key="o1", deadline=3.0)
    network.settle()
    network.clock.advance(3.5)
    network.settle()
    assert network.outcome(second) is Outcome.UNKNOWN
    assert network.runs[second] == 0


@pytest.mark.parametrize("kind", [RequestPermit, StartAttempt])
def test_message_to_a_former_agent_runs_at_most_once_at_the_next(kind):
    """Guard against a message that both lifetimes of an agent act on."""
    network = Network(agents=1)
    request_id = network.submit("order", key="o1")
    deliver_until(network, kind)
    late = network.packets.pop(0)
    network.restart("a0")
    network.deliver(late)
    network.settle()
    network.clock.advance(5)
    network.settle()
    network.clock.advance(10)
    network.settle()
    assert network.runs[request_id] <= 1
    told = network.outcome(request_id)
    assert told is not Outcome.NOT_RUN or network.runs[request_id] == 0
