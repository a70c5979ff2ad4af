"""Test the calls to the metadata store with every kind of answer."""

from __future__ import annotations

import json
from base64 import b64encode

import pytest

from wasabispur_core.storage.feed import (
    ChangesDelivered,
    FeedFailed,
    FetchChanges,
    FetchPage,
    HistoryGone,
    PageDelivered,
)
from wasabispur_core.storage.store import ABSENT, Condition, Transaction, Write
from wasabispur_core.storage.store_call import (
    CallLost,
    CallRefused,
    CallRejected,
    CallThrottled,
    ConditionsFailed,
    PageRead,
    RowsFound,
    SendLookup,
    SendPageRead,
    SendTransaction,
    TransactionApplied,
)
from wasabispur_platform.store_wire import (
    encode_value,
    send_feed_call,
    send_store_call,
    transaction_body,
)
from wasabispur_runtime.http_call import HttpResponse, RequestNotSent, ResponseLost

TRANSACTION = Transaction(
    operation_id="op1",
    conditions=(
        Condition(key="shard/main", version=3),
        Condition(key="job/main/a", version=ABSENT),
    ),
    writes=(
        Write(key="shard/main", value={"owner": "e1"}),
        Write(key="job/main/a", value=None),
    ),
)
SEND = SendTransaction(call_id=7, transaction=TRANSACTION)


class FakeClient:
    """Return prepared results in order and record the calls."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    def call(self, method, path, body, limit, headers=None, timeout=None):
        self.calls.append((method, path, body))
        return self.results.pop(0)


def answer(status: int, body=None) -> HttpResponse:
    return HttpResponse(status, json.dumps(body if body is not None else {}).encode())


def row(key: str, version: int = 1, **fields) -> dict:
    value = fields.pop("value", encode_value("op1", {"x": 1}))
    return {
        "table": "job",
        "part": "main",
        "key": key,
        "value": value,
        "ver": version,
        **fields,
    }


def rows(*found, **fields) -> HttpResponse:
    return answer(200, {"rows": list(found), "ver": 9, "now_ms": 1500, **fields})


def test_transaction_is_encoded_for_the_store():
    """Guard against conditions or removals that are not encoded."""
    body = transaction_body(TRANSACTION)
    assert body["expected_rev"] == [
        {"table": "shard", "part": "main", "key": "-", "ver": 3},
        {"table": "job", "part": "main", "key": "a", "ver": 0},
    ]
    assert [put["key"] for put in body["puts"]] == ["-"]
    assert body["remove"] == [{"table": "job", "part": "main", "key": "a"}]


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (answer(200, {"ver": 12}), TransactionApplied),
        (answer(200, {}), CallLost),
        (HttpResponse(200, b"\xff"), CallLost),
        (answer(412, {"rows": [row("a", 5)]}), ConditionsFailed),
        (answer(412, {"rows": "none"}), CallLost),
        (answer(429), CallThrottled),
        (answer(503), CallRefused),
        (answer(500), CallLost),
        (answer(403), CallRejected),
        (ResponseLost("reset"), CallLost),
        (RequestNotSent("refused"), CallRefused),
    ],
)
def test_transaction_answers(result, expected):
    """Guard against an answer that is decoded as another outcome."""
    assert type(send_store_call(SEND, FakeClient(result))) is expected


def test_conflict_names_the_rows_that_differ():
    """Guard against a conflict without the failed conditions or with a met one."""
    own = {**row("-", 4), "table": "shard"}
    refused = send_store_call(SEND, FakeClient(answer(412, {"rows": [own]})))
    assert refused.keys == ("shard/main",)


def test_versions_of_removed_rows_are_absent():
    """Guard against a later condition on the version of a removed row."""
    applied = send_store_call(SEND, FakeClient(answer(200, {"ver": 12})))
    assert applied.versions == {"shard/main": 12, "job/main/a": ABSENT}


def test_consecutive_pages_do_not_repeat_rows():
    """Guard against a page that begins with the last row of the previous page."""
    client = FakeClient(
        rows(row("a"), row("b"), has_more=True), rows(row("b"), row("c"))
    )
    first = send_store_call(
        SendPageRead(call_id=1, prefix="job/main/", after=""), client
    )
    assert isinstance(first, PageRead)
    assert first.next_key == "job/main/b"
    second = send_store_call(
        SendPageRead(call_id=1, prefix="job/main/", after=first.next_key), client
    )
    assert [one.key for one in second.rows] == ["job/main/c"]
    assert second.next_key is None
    assert "from=b" in client.calls[1][1]


def test_prefix_ends_before_the_next_key():
    """Guard against reading rows beyond the prefix."""
    client = FakeClient(rows())
    send_store_call(SendPageRead(call_id=1, prefix="job/main/ab", after=""), client)
    assert "from=ab" in client.calls[0][1]
    assert "target=ac" in client.calls[0][1]


def test_lookup_finds_only_the_row_itself():
    """Guard against returning the next row in place of a missing one."""
    found = send_store_call(
        SendLookup(call_id=1, keys=("job/main/a",)), FakeClient(rows(row("b")))
    )
    assert found == RowsFound(call_id=1, rows=())


@pytest.mark.parametrize(
    "value",
    [
        "no base64!",
        b64encode(b"no json").decode(),
        b64encode(b"[1]").decode(),
        b64encode(b'{"op": 1, "value": {}}').decode(),
        b64encode(b'{"op": "x", "value": 3}').decode(),
    ],
)
def test_unreadable_row_is_skipped(value):
    """Guard against one malformed row that prevents the reading of all others."""
    client = FakeClient(rows(row("a", value=value), row("b")))
    page = send_feed_call(FetchPage(prefix="job/main/", after=""), client)
    assert isinstance(page, PageDelivered)
    assert [one.key for one in page.rows] == ["job/main/b"]
    assert page.store_time == 1.5


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (rows(row("a"), row("b", tombstone=True)), ChangesDelivered),
        (answer(410), HistoryGone),
        (answer(429), FeedFailed),
        (answer(503), FeedFailed),
        (HttpResponse(200, b"{"), FeedFailed),
        (ResponseLost("silent"), FeedFailed),
        (RequestNotSent("refused"), FeedFailed),
    ],
)
def test_feed_answers(result, expected):
    """Guard against a feed that continues after a gap or ends on a failure."""
    command = FetchChanges(table="job", after=4, wait=1.0)
    delivered = send_feed_call(command, FakeClient(result))
    assert type(delivered) is expected
    if isinstance(delivered, ChangesDelivered):
        assert delivered.removed == ("job/main/b",)
        assert delivered.version == 9
