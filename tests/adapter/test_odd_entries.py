"""Test that an odd entry of another writer harms no reader of the others."""

from __future__ import annotations

import json
from base64 import b64encode

import pytest
from pydantic import ValidationError

from wasabispur.fleet_rows import decode_row
from wasabispur_core.storage.feed import ChangesDelivered, FetchChanges
from wasabispur_core.storage.store import Row
from wasabispur_core.workload.rows import job_key, report_key
from wasabispur_platform.store_wire import encode_value, send_feed_call
from wasabispur_platform.worker_wire import HeartbeatBody
from wasabispur_platform_standin.system import PlatformSystem
from wasabispur_runtime.http_call import HttpResponse
from wasabispur_standins.process import ProcessGroup, wait_for

from .test_store_wire import FakeClient
from .test_worker_wire import HEARTBEAT

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


ODD_FIELDS = [
    {"address": "10.0.0.1:99999"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1:0"},
    {"address": "xx"},
    {"address": ":80"},
    {"state": "gone"},
    {"sequence": 10**400},
    {"sequence": -1},
    {"born": 10**30},
    {"capacity": {"cpu": 10**200, "mem_mb": 1}},
    {"capacity": {"cpu": 1, "mem_mb": -5}},
    {"capacity": {"cpu": 1, "mem_mb": 1, "gpu": -1}},
]


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda fields: str(fields)[:40])
def test_impossible_heartbeat_is_refused(fields):
    """Guard against a heartbeat that puts impossible values into rows of others."""
    with pytest.raises(ValidationError):
        HeartbeatBody.model_validate_json(json.dumps({**HEARTBEAT, **fields}))


INFO = {
    "worker_id": "w",
    "incarnation": "1",
    "service": "s",
    "data_centre": "a",
    "address": "10.0.0.1:80",
    "capacity": {"cpu": 8000, "memory": 100, "accelerators": 8},
}
ODD_INFO = [
    {"address": "10.0.0.1:99999"},
    {"incarnation": "x"},
    {"incarnation": "9" * 400},
    {"sequence": 10**400},
    {"remaining": float("inf")},
    {"capacity": {"cpu": 10**400}},
    {"capacity": {"accelerators": -5}},
]


def report_row(**fields) -> Row:
    value = {"agent_id": "a", "number": 1, "info": {**INFO, **fields}}
    return Row(key=report_key("w"), version=1, operation_id="o", value=value)


@pytest.mark.parametrize("fields", ODD_INFO, ids=lambda fields: str(fields)[:40])
def test_impossible_report_names_no_worker(fields):
    """Guard against a report that fails each planning pass of the owner."""
    assert decode_row(report_row()) is not None
    assert decode_row(report_row(**fields)) is None


@pytest.mark.parametrize(
    "step",
    [
        {"count": 10**9, "demand": {"cpu": 1}},
        {"count": 1, "demand": {"cpu": -1}},
        {"count": 1, "demand": {"cpu": 10**400}},
        {"count": 1, "demand": {"cpu": 1}, "estimate": float("inf")},
    ],
    ids=lambda step: str(step)[:40],
)
def test_impossible_job_is_not_scheduled(step):
    """Guard against a job row that exhausts the owner's memory or fails its passes."""
    value = {"job_id": "j", "steps": [step]}
    row = Row(key=job_key("j"), version=1, operation_id="o", value=value)
    assert decode_row(row) is None
