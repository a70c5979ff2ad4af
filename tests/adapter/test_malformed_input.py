"""Test that no input from outside raises an untyped error in a decoder.

An exception in a decoder ends the call that it was part of, and on a feed the reading
of the table.
"""

from __future__ import annotations

import json
from contextlib import suppress

from hypothesis import given, settings, strategies as st
from pydantic import ValidationError

from wasabispur.fleet_rows import decode_row
from wasabispur_core.error import WasabispurError
from wasabispur_core.message import Message
from wasabispur_core.storage.feed import FetchChanges, FetchPage
from wasabispur_core.storage.store import Row
from wasabispur_core.storage.store_call import SendLookup, SendPageRead
from wasabispur_core.workload.policies.policy import FleetPolicy
from wasabispur_core.workload.rows import job_key, order_key, progress_key, report_key
from wasabispur_platform.front import decode_job
from wasabispur_platform.policy_wire import CONFIGURATION_KEY, decode_policy
from wasabispur_platform.store_wire import send_feed_call, send_store_call
from wasabispur_platform.worker_wire import HeartbeatBody, send_worker_call
from wasabispur_runtime.http_call import HttpResponse

from .test_store_wire import FakeClient, SEND
from .test_worker_wire import HEARTBEAT, LIST, START, STOP

FIELDS = (
    "clock_ms",
    "running",
    "ended_runs",
    "reason",
    "rows",
    "ver",
    "now_ms",
    "has_more",
    "value",
    "table",
    "part",
    "key",
    "steps",
    "spec",
    "count",
    "cpu",
    "gpu",
    "routes",
    "tenants",
    "version",
    "units",
    "state",
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["done", "ready", "1e400", "j.0.0.1"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(FIELDS) | st.text(max_size=4), inner, max_size=5
        )
    ),
    max_leaves=12,
)
TEXTS = VALUES.map(json.dumps)
BODIES = (
    TEXTS.map(str.encode)
    | st.binary(max_size=60)
    | TEXTS.map(lambda text: text.encode()[: len(text) // 2])
    | st.integers(1, 60).map(lambda depth: b"[" * depth * 500)
)
STATUSES = st.sampled_from([200, 204, 400, 404, 409, 410, 412, 421, 429, 500, 503])
EXAMPLES = settings(max_examples=150, deadline=None)


@EXAMPLES
@given(st.sampled_from([LIST, START, STOP]), STATUSES, BODIES)
def test_answers_of_workers(command, status, body):
    """Guard against an answer of a worker that ends its polls."""
    client = FakeClient(HttpResponse(status, body))
    assert isinstance(send_worker_call(command, client, 1.0), Message)


@EXAMPLES
@given(
    st.sampled_from(
        [
            SEND,
            SendLookup(call_id=1, keys=("job/main/a",)),
            SendPageRead(call_id=1, prefix="job/main/", after=""),
        ]
    ),
    STATUSES,
    BODIES,
)
def test_answers_of_the_store(command, status, body):
    """Guard against an answer of the store that loses a write or a read."""
    client = FakeClient(HttpResponse(status, body))
    assert send_store_call(command, client).call_id == command.call_id


@EXAMPLES
@given(
    st.sampled_from(
        [
            FetchPage(prefix="job/main/", after=""),
            FetchChanges(table="job", after=4, wait=1.0),
        ]
    ),
    STATUSES,
    BODIES,
)
def test_answers_to_feeds(command, status, body):
    """Guard against an answer that ends the reading of a table."""
    assert isinstance(
        send_feed_call(command, FakeClient(HttpResponse(status, body))), Message
    )


@EXAMPLES
@given(
    st.sampled_from(
        [job_key("j"), progress_key("j"), report_key("w"), order_key("a", "w")]
    ),
    st.dictionaries(st.sampled_from(FIELDS) | st.text(max_size=4), VALUES, max_size=6),
)
def test_rows(key, value):
    """Guard against a row that ends the scheduler's reading of the others."""
    decode_row(Row(key=key, version=1, operation_id="o", value=value))


@EXAMPLES
@given(st.dictionaries(st.sampled_from(FIELDS), VALUES, max_size=6))
def test_configurations(value):
    """Guard against a configuration that no process survives."""
    row = Row(key=CONFIGURATION_KEY, version=1, operation_id="o", value=value)
    policy = decode_policy(row)
    assert policy is None or isinstance(policy, FleetPolicy)


@EXAMPLES
@given(BODIES)
def test_submissions(body):
    """Guard against a submission that is answered as an error of the server."""
    call = {"call_id": "c", "host": "h", "path": "/q/j"}
    with suppress(WasabispurError):
        decode_job(body, call, "digest")


@EXAMPLES
@given(st.sampled_from(sorted(HEARTBEAT)), VALUES)
def test_heartbeats(field, value):
    """Guard against a heartbeat of another writer that stops those of the others."""
    text = json.dumps({**HEARTBEAT, field: value})
    with suppress(ValidationError):
        HeartbeatBody.model_validate_json(text).announcement("i-1")


def test_long_lists():
    """Guard against a list of runs that is too long for a decoder."""
    body = json.dumps({"clock_ms": 1, "running": [["t", 1, "", 1]] * 50_000})
    client = FakeClient(HttpResponse(200, body.encode()))
    assert isinstance(send_worker_call(LIST, client, 1.0), Message)
