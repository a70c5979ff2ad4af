"""Test that an odd entry of another writer harms no reader of the others."""

from __future__ import annotations

import json
from base64 import b64encode

import pytest

from wasabispur_core.feed import ChangesDelivered, FetchChanges
from wasabispur_platform.store_wire import encode_value, send_feed_call
from wasabispur_platform_standin.system import PlatformSystem
from wasabispur_runtime.http_call import HttpResponse
from wasabispur_standins.process import ProcessGroup, wait_for

from .test_store_wire import FakeClient

DEPTH = 20_000
"""Levels of nesting that no JSON parser of this language follows."""

ODD_VALUES = {
    "nested": b'{"op": "o", "value": {"info": ' + b"[" * DEPTH + b"]" * DEPTH + b"}}",
    "number": b'{"op": "o", "value": {"number": ' + b"9" * 5_000 + b"}}",
    "no-json": b"\x00\xff{",
}
REPORT_PART = "r0"


def odd_row(name: str) -> dict:
    value = b64encode(ODD_VALUES[name]).decode()
    return {"table": "report", "part": REPORT_PART, "key": name, "value": value}


@pytest.mark.parametrize("name", sorted(ODD_VALUES))
def test_feed_delivers_the_rows_beside_an_odd_one(name):
    """Guard against a row that ends the reading of its table."""
    good = {**odd_row(name), "key": "w1", "value": encode_value("o", {"a": 1})}
    rows = [{**odd_row(name), "ver": 5}, {**good, "ver": 6}]
    body = json.dumps({"rows": rows, "ver": 6}).encode()
    answer = send_feed_call(
        FetchChanges(table="report", after=4, wait=1.0),
        FakeClient(HttpResponse(200, body)),
    )
    assert isinstance(answer, ChangesDelivered)
    assert [row.key for row in answer.rows] == [f"report/{REPORT_PART}/w1"]


def put_rows(system: PlatformSystem, rows: list[dict]) -> None:
    """Write rows as another writer would."""
    answer = system.call("POST", system.store_address, "/v1/rows-tx", {"puts": rows})
    assert answer.status == 200


def test_processes_go_on_beside_odd_entries(tmp_path):
    """Guard against entries that stop following the workers, also after a restart."""
    with ProcessGroup(tmp_path) as group:
        system = PlatformSystem(group)
        put_rows(system, [odd_row(name) for name in ODD_VALUES])
        system.wait_ready()
        for name in ("entry-0", "entry-1"):
            system.children[name].signal(9)
            system.restart(name)
        system.wait_ready()
        put_rows(system, [odd_row("nested")])
        job = "00000000000000aa"
        assert system.submit("entry-0", job, tasks=2).status == 200
        wait_for(
            "the end of the job",
            lambda: system.state("entry-1", job) == "completed",
            limit=30,
        )
        for name in ("entry-0", "entry-1"):
            assert system.children[name].process.poll() is None
        logs = "".join(
            system.children[name].output() for name in system.ready_addresses
        )
        for name in ODD_VALUES:
            assert f'"key": "report/{REPORT_PART}/{name}"' in logs
