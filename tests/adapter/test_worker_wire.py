"""Test the calls to executors with every kind of answer."""

from __future__ import annotations

import json

import pytest
from pydantic import ValidationError

from wasabispur_core.workload.agent.health_check import CheckHealth
from wasabispur_core.workload.agent.runner_message import (
    ListFailed,
    ListRuns,
    RunsListed,
    StartAccepted,
    StartRejected,
    StartRun,
    StartUnanswered,
    StopAccepted,
    StopRun,
    StopUnanswered,
)
from wasabispur_core.workload.workers.worker import EndKind, HealthAnswer, WorkerState
from wasabispur_platform.worker_wire import HeartbeatBody, send_worker_call
from wasabispur_runtime.http_call import HttpResponse, RequestNotSent, ResponseLost

from .test_store_wire import answer, FakeClient

WORKER_FIELDS = {"worker_id": "i-1", "incarnation": "77", "address": "h:1", "epoch": 4}
LIST = ListRuns(
    **WORKER_FIELDS, acknowledged=5, wait=1.0, lease_end=9.5, recurring=True
)
START = StartRun(
    **WORKER_FIELDS, task="j.0.0.1", run=2, payload="p", checkpoint="c", lease_end=9.5
)
CHECK = CheckHealth(**WORKER_FIELDS, path="/health", timeout=0.4)
STOP = StopRun(**WORKER_FIELDS, task="j.0.0.1", run=2)
HEARTBEAT = {
    "service": "s",
    "address": "h:1",
    "zone": "z",
    "state": "ready",
    "sequence": 4,
    "born": 77,
    "capacity": {"cpu": 1, "mem_mb": 2, "gpu": 3},
    "labels": ["a", "r1-3"],
}


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (answer(200, {"clock_ms": 1}), StartAccepted),
        (answer(409, {"clock_ms": 1, "reason": "room"}), StartRejected),
        (answer(409, {"clock_ms": 1, "reason": "old"}), StartRejected),
        (answer(409, {"clock_ms": 1, "reason": "late"}), StartRejected),
        (answer(409, {"clock_ms": 1, "reason": "fence"}), StartRejected),
        (answer(421), StartRejected),
        (answer(429), StartRejected),
        (answer(503), StartRejected),
        (answer(400), StartRejected),
        (answer(500), StartUnanswered),
        (ResponseLost("reset"), StartUnanswered),
        (RequestNotSent("refused", refused=True), StartUnanswered),
    ],
)
def test_start_answers(result, expected):
    """Guard against treating a start with an unknown result as rejected."""
    assert type(send_worker_call(START, FakeClient(result), 1.0)) is expected


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (HttpResponse(200, b""), HealthAnswer.HEALTHY),
        (HttpResponse(503, b"x"), HealthAnswer.UNHEALTHY),
        (HttpResponse(200, b"", {"X-Instance-Id": "i-1"}), HealthAnswer.HEALTHY),
        (HttpResponse(503, b"", {"X-Instance-Id": "i-2"}), HealthAnswer.UNANSWERED),
        (HttpResponse(404, b""), HealthAnswer.UNANSWERED),
        (ResponseLost("reset"), HealthAnswer.UNANSWERED),
        (RequestNotSent("refused", refused=True), HealthAnswer.UNANSWERED),
    ],
)
def test_health_answers(result, expected):
    """Guard against another worker's answer that is taken for one of this worker."""
    client = FakeClient(result)
    answered = send_worker_call(CHECK, client, 1.0)
    assert (answered.answer, answered.incarnation) == (expected, "77")
    assert client.calls[0][:3] == ("GET", "/health", None)


def test_start_carries_lease_fence_and_checkpoint():
    """Guard against a start without its lease end, fencing token or checkpoint."""
    client = FakeClient(answer(200, {"clock_ms": 1}))
    send_worker_call(START, client, 1.0)
    body = json.loads(client.calls[0][2])
    assert body == {
        "task": "j.0.0.1",
        "run_id": 2,
        "spec": "p",
        "expiry_ms": 9500,
        "fencing_token": 4,
        "last_checkpoint": "c",
    }


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (answer(200), StopAccepted),
        (answer(409, {"reason": "fence"}), StopUnanswered),
        (answer(503), StopUnanswered),
        (ResponseLost("reset"), StopUnanswered),
    ],
)
def test_stop_answers(result, expected):
    """Guard against treating a run as barred that may still start."""
    assert type(send_worker_call(STOP, FakeClient(result), 1.0)) is expected


def test_lists_are_decoded():
    """Guard against values of runs that are decoded into the wrong fields."""
    body = {
        "clock_ms": 2500,
        "running": [["j.0.0.1", 2, "c", 41, 7]],
        "ended_runs": [[58, "j.0.0.9", 1, "done", ""]],
        "born": 77,
    }
    listed = send_worker_call(LIST, FakeClient(answer(200, body)), 1.0)
    assert isinstance(listed, RunsListed)
    assert listed.clock == 2.5
    assert listed.recurring
    assert listed.runs[0].percent == 41
    assert listed.ended[0].number == 58
    assert listed.ended[0].kind is EndKind.DONE


@pytest.mark.parametrize(
    "result",
    [
        answer(200, {"clock_ms": 1, "born": 78}),
        answer(200, {"clock_ms": 1, "running": [["j"]]}),
        answer(200, {"clock_ms": 1, "ended_runs": [[1, "j", 1, "vanished", ""]]}),
        answer(200, {"clock_ms": 1, "ended_runs": [[1, "j", 1, "unknown", ""]]}),
        answer(200, {"clock_ms": 1, "ended_runs": [[1, "j", 1, "crashed", ""]]}),
        answer(200, {"running": []}),
        HttpResponse(200, b"\xff\x00"),
        answer(409, {"reason": "fence"}),
        answer(421),
        ResponseLost("silent"),
    ],
)
def test_unusable_list_fails(result):
    """Guard against treating runs as ended because a list could not be decoded."""
    failed = send_worker_call(LIST, FakeClient(result), 1.0)
    assert isinstance(failed, ListFailed)
    assert not failed.refused


def test_refused_connection_is_reported():
    """Guard against waiting for the lease to expire although no process listens."""
    failed = send_worker_call(LIST, FakeClient(RequestNotSent("no", refused=True)), 1.0)
    assert failed.refused


def test_heartbeat_is_decoded():
    """Guard against fields of a heartbeat that are lost in decoding."""
    info = HeartbeatBody.model_validate(HEARTBEAT).announcement("i-1").info
    assert (info.incarnation, info.rack, info.data_centre) == ("77", "r1-3", "z")
    assert info.capacity.accelerators == 3
    assert info.state is WorkerState.READY


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"capacity": None},
        {"sequence": "four"},
        {"service": 3},
        {"address": None},
        {"labels": "a"},
    ],
)
def test_malformed_heartbeat_is_rejected(change):
    """Guard against using a worker whose heartbeat is malformed."""
    with pytest.raises(ValidationError):
        HeartbeatBody.model_validate({**HEARTBEAT, **change})
