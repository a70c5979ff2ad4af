"""Test the choice of endpoints."""

from __future__ import annotations

from random import Random

from wasabispur_core.requests.routing import (
    choose_endpoint,
    EndpointView,
    healthy_endpoints,
    SPILL_BURST_BYTES,
    SpillBudget,
)

FAILURES = 10


def view(name: str, region: str = "here", **changes) -> EndpointView:
    return EndpointView(agent_id=name, service="s", region=region, slots=8, **changes)


def choose(endpoints, **options):
    return choose_endpoint(endpoints, "s", "here", Random(1), 0.0, **options)


def test_local_region_goes_first_until_it_is_full():
    """Guard against paid traffic between regions while local slots are free."""
    local, remote = view("l"), view("r", "there")
    assert choose([local, remote]) is local
    local.in_flight = 8
    assert choose([local, remote]) is remote
    assert choose([local, remote], allow_remote=False) is None


def test_spill_budget_bounds_the_bytes():
    """Guard against unbounded cost of the link between regions."""
    budget = SpillBudget()
    assert budget.allows(SPILL_BURST_BYTES, 0.0)
    budget.spend(SPILL_BURST_BYTES)
    assert not budget.allows(1, 0.0)
    assert budget.allows(1, 1.0)


def test_new_endpoint_starts_slowly_and_reaches_its_slots():
    """Guard against a new endpoint that gets all its load at once."""
    endpoint = view("n", in_flight=2)
    assert not endpoint.can_take(0.0)
    for _ in range(10):
        endpoint.record_success(0.1)
    assert endpoint.concurrency_limit == 8.0


def test_limit_falls_with_latency_and_refusals_but_not_below_one():
    """Guard against more load than an endpoint can serve."""
    endpoint = view("n")
    for _ in range(50):
        endpoint.record_success(0.1)
    for _ in range(3):
        endpoint.record_success(1.0)
    assert endpoint.concurrency_limit < 8.0
    for _ in range(50):
        endpoint.record_refusal(0.0, Random(1))
    assert endpoint.concurrency_limit == 1.0


def test_one_short_run_does_not_hold_the_limit_down():
    """Guard against a baseline that is set by the very first sample."""
    endpoint = view("n")
    random = Random(1)
    endpoint.record_success(0.001)
    for _ in range(200):
        endpoint.record_success(random.expovariate(1 / 0.4))
    assert endpoint.concurrency_limit > 7.0


def test_failing_endpoint_is_ejected_and_returns_with_a_limit_of_one():
    """Guard against routing to an endpoint that fails every request quickly."""
    endpoints = [view(f"e{number}") for number in range(4)]
    for _ in range(FAILURES):
        endpoints[0].record_failure(0.0)
    assert endpoints[0] not in healthy_endpoints(endpoints, 0.0)
    back = endpoints[0].ejected_until
    assert endpoints[0] in healthy_endpoints(endpoints, back)
    assert endpoints[0].concurrency_limit == 1.0


def test_none_is_ejected_when_most_look_unhealthy():
    """Guard against an outage elsewhere that leaves no endpoint to use."""
    endpoints = [view(f"e{number}") for number in range(4)]
    for endpoint in endpoints[:3]:
        for _ in range(FAILURES):
            endpoint.record_failure(0.0)
    assert healthy_endpoints(endpoints, 0.0) == endpoints


def test_leaving_endpoint_gets_no_new_work():
    """Guard against new work for an endpoint that announced its stop."""
    assert choose([view("l", leaving=True)]) is None
