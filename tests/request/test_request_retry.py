"""Test the limits on retries."""

from __future__ import annotations

from random import Random

import pytest

from wasabispur_core.protocol import RequestPermit
from wasabispur_core.requests.outcome import Outcome
from wasabispur_core.requests.retry import backoff, BACKOFF_LIMIT, RetryBudget

from .network import Network

REQUESTS = 400
ATTEMPTS_PER_REQUEST = 1.2


def fail_all_calls(network: Network, ending: str) -> int:
    """Deliver all messages, fail all calls, and return the number of attempts."""
    attempts = 0
    while network.busy:
        attempts += sum(
            isinstance(packet.message, RequestPermit) for packet in network.packets
        )
        network.settle()
        for agent_id, node in network.agents.items():
            for attempt_id in list(node.calls):
                network.finish(agent_id, attempt_id, ending)
    return attempts


@pytest.mark.parametrize("ending", ["refused", "lost"])
@pytest.mark.parametrize("work_class", ["urgent", "order"])
def test_attempts_stay_bounded_in_a_full_outage(work_class, ending):
    """Guard against retries that multiply the load of an outage."""
    network = Network(agents=4)
    attempts = 0
    for _ in range(REQUESTS):
        network.submit(work_class)
        attempts += fail_all_calls(network, ending)
        network.clock.advance(0.05)
        attempts += fail_all_calls(network, ending)
    for _ in range(20):
        network.clock.advance(1.0)
        attempts += fail_all_calls(network, ending)
    assert len(network.replies) == REQUESTS
    assert attempts / REQUESTS < ATTEMPTS_PER_REQUEST
    expected = Outcome.NOT_RUN if ending == "refused" else Outcome.UNKNOWN
    assert {network.outcome(request_id) for request_id in network.replies} == {expected}


def test_retry_goes_to_another_endpoint_with_the_remaining_deadline():
    """Guard against a retry at the failed endpoint or with a fresh deadline."""
    network = Network(agents=2)
    network.entry.budget(network.entry.classes["urgent"]).balance = 1.0
    request_id = network.submit(deadline=10.0)
    first = network.entry.requests[request_id].agent_id
    network.settle()
    network.clock.advance(4.0)
    network.finish(first, f"{request_id}.1", "refused")
    network.settle()
    network.clock.advance(1.0)
    asked = [p for p in network.packets if isinstance(p.message, RequestPermit)]
    assert [packet.agent_id != first for packet in asked] == [True]
    assert asked[0].message.remaining < 6.0


def test_backoff_is_spread_over_the_whole_growing_interval():
    """Guard against synchronised retries."""
    random = Random(1)
    for attempts in range(1, 12):
        delays = [backoff(attempts, random) for _ in range(500)]
        limit = min(BACKOFF_LIMIT, 0.05 * 2.0**attempts)
        assert min(delays) < 0.1 * limit
        assert 0.9 * limit < max(delays) <= limit


def test_budget_does_not_grow_without_bound():
    """Guard against a burst of retries after a long time without failures."""
    budget = RetryBudget(0.1)
    for _ in range(10_000):
        budget.deposit()
    assert budget.balance <= 10.0
