"""Test the metrics of requests and the registry that records them."""

from __future__ import annotations

import pytest

from wasabispur.request_metrics import RequestMetrics
from wasabispur_core.command import SendToAgent
from wasabispur_core.message import Message
from wasabispur_core.metric import (
    ATTEMPTS,
    MAILBOX_DEPTH,
    REQUEST_TIME,
    REQUESTS,
    START_WAIT,
)
from wasabispur_core.protocol import RequestPermit, StartAttempt
from wasabispur_core.requests.outcome import Outcome, ReplyToCaller
from wasabispur_core.requests.request_message import RequestReceived
from wasabispur_runtime.metrics import LABEL_VALUE_LIMIT, MetricRegistry, OVERFLOW_LABEL


def received(request_id, organisation="peachtree") -> RequestReceived:
    return RequestReceived(
        request_id=request_id,
        organisation=organisation,
        work_class="urgent",
        service="tags",
        method="GET",
        path="/",
        headers={},
        body=b"",
        deadline=10.0,
    )


def permit(request_id, number) -> SendToAgent:
    message = RequestPermit(
        attempt_id=f"{request_id}.{number}", request_id=request_id, remaining=1.0
    )
    return SendToAgent(agent_id="agent-1", message=message)


def start(request_id, number) -> SendToAgent:
    message = StartAttempt(
        attempt_id=f"{request_id}.{number}",
        permit_id="p",
        method="GET",
        path="/",
        headers={},
        body=b"",
        remaining=1.0,
    )
    return SendToAgent(agent_id="agent-1", message=message)


@pytest.fixture
def metrics():
    registry = MetricRegistry()
    registry.configure("entry-1")
    return RequestMetrics(registry)


def series(metrics, metric) -> list:
    return [one for one in metrics.registry.read() if one.name == metric.name]


@pytest.mark.parametrize("outcome", Outcome)
def test_request_is_counted_once_with_its_outcome(metrics, outcome):
    """Guard against requests that are counted twice, late or under another class."""
    reply = ReplyToCaller(request_id="r", outcome=outcome)
    metrics.observe(received("r"), [permit("r", 1)], 1.0)
    metrics.observe(Message(), [permit("r", 2), start("r", 2)], 1.5)
    metrics.observe(Message(), [start("r", 3)], 2.0)
    metrics.observe(Message(), [reply, reply], 4.0)
    labels = {"class": "urgent", "organisation": "peachtree"}
    (requests,) = series(metrics, REQUESTS)
    assert requests.labels == labels | {"outcome": outcome.value}
    assert requests.value == 1
    (attempts,) = series(metrics, ATTEMPTS)
    assert attempts.value == 2
    (wait,) = series(metrics, START_WAIT)
    assert (wait.labels, wait.count, wait.value) == (labels, 1, 0.5)
    (time,) = series(metrics, REQUEST_TIME)
    assert (time.count, time.value) == (1, 3.0)
    assert sum(time.buckets) == 1
    assert not metrics.requests


def test_label_values_are_bounded_and_still_counted(metrics):
    """Guard against callers whose names of organisations exhaust the memory."""
    for number in range(LABEL_VALUE_LIMIT + 30):
        request_id = f"r{number}"
        reply = ReplyToCaller(request_id=request_id, outcome=Outcome.COMPLETED)
        metrics.observe(received(request_id, f"org-{number}"), [reply], 0.0)
    counted = series(metrics, REQUESTS)
    assert len(counted) == LABEL_VALUE_LIMIT + 1
    assert sum(one.value for one in counted) == LABEL_VALUE_LIMIT + 30
    (other,) = [one for one in counted if one.labels["organisation"] == OVERFLOW_LABEL]
    assert other.value == 30


def test_wrong_labels_are_refused(metrics):
    """Guard against series whose labels differ from the catalogue."""
    with pytest.raises(ValueError, match="labels"):
        metrics.registry.count(ATTEMPTS, outcome="completed")


def test_gauge_keeps_the_last_value(metrics):
    """Guard against a depth that adds up instead of following the mailbox."""
    for depth in (5, 3):
        metrics.registry.record(MAILBOX_DEPTH, depth, actor="membership")
    (one,) = series(metrics, MAILBOX_DEPTH)
    assert one.value == 3


def test_registry_records_nothing_until_configured():
    """Guard against processes that fail because they don't configure metrics."""
    registry = MetricRegistry()
    registry.count(ATTEMPTS, class_="urgent")
    assert registry.read() == []
