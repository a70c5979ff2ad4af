"""Test the decoding of the operators' configuration, of jobs and of settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from wasabispur.http_error import BadRequestError
from wasabispur_core.error import SettingsError
from wasabispur_core.storage.store import Row
from wasabispur_core.workload.jobs.spec import Resources
from wasabispur_core.workload.jobs.stop_times import StopTimes
from wasabispur_core.workload.policies.policy import key_digest
from wasabispur_platform.front import bearer_key_digest, decode_job
from wasabispur_platform.node_settings import (
    agent_settings,
    entry_settings,
    read_node_file,
)
from wasabispur_platform.policy_wire import decode_policy

ROUTE = {
    "name": "q",
    "host": "h.example",
    "path_prefix": "/a/",
    "service": "s",
    "priority": 2,
    "max_attempts": 3,
    "stretch": 1.5,
    "target_duration_ms": 400,
}
BODY = {
    "version": 7,
    "routes": [ROUTE, {**ROUTE, "name": "r", "path_prefix": "/a/b/"}],
    "services": [{"name": "s", "admission_check": True}],
    "tenants": [{"name": "t", "api_keys": ["k1"], "guaranteed": {"gpu": 24}}],
    "limits": {"max_body_bytes": 99},
    "unknown": 1,
}
CALL = {"call_id": "c", "host": "h", "path": "/a/1"}


def policy(body) -> object:
    row = Row(key="op//config", version=1, operation_id="", value=body)
    return decode_policy(row)


def test_configuration_is_decoded():
    """Guard against the platform's units and names in the product's types."""
    found = policy(BODY)
    assert found.version == 7
    assert found.queues["q"].target == 0.4
    assert found.queue_for("h.example", "/a/b/1").name == "r"
    assert found.queue_for("other", "/a/1") is None
    assert found.keys == {key_digest("k1"): "t"}
    assert "k1" not in repr(found)
    assert found.organisations["t"].guaranteed_accelerators == 24


@pytest.mark.parametrize(
    "change",
    [{"version": "x"}, {"routes": [{"name": "q"}]}, {"tenants": [{"api_keys": []}]}],
)
def test_malformed_configuration_changes_nothing(change):
    """Guard against a malformed row that is applied in part."""
    assert policy({**BODY, **change}) is None


def test_other_operator_rows_are_ignored():
    """Guard against another row of the operators that is decoded as a configuration."""
    row = Row(key="op//wave/1", version=1, operation_id="", value=BODY)
    assert decode_policy(row) is None


def test_job_is_decoded():
    """Guard against a field of a job or step that is lost in decoding."""
    body = (
        b'{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":64,"gpu":1,'
        b'"estimate_ms":900,"gang":true,"same_rack":true,"requires":"a",'
        b'"data_rack":"r1-2","max_per_server":1},{"after":[0],"count":1}],'
        b'"repeat_count":3,"interval_ms":1500,"start_at_ms":4000}'
    )
    job = decode_job(body, CALL, "digest")
    first = job.steps[0]
    assert first.demand == Resources(cpu=500, memory=64, accelerators=1)
    assert (first.estimate, first.gang, first.same_rack) == (0.9, True, True)
    assert (first.label, first.data_rack, first.tasks_per_worker) == ("a", "r1-2", 1)
    assert job.steps[1].after == (0,)
    assert (job.repeats, job.repeat_interval, job.start_at) == (3, 1.5, 4.0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"steps":{}}',
        b'{"steps":[{"count":0}]}',
        b'{"steps":[{"count":1,"cpu":-1}]}',
        b'{"steps":[{"count":1,"gpu":"many"}]}',
        b'{"spec":5}',
    ],
)
def test_malformed_job_is_refused_by_field(body):
    """Guard against storing a job that can't be decoded."""
    with pytest.raises(BadRequestError, match="not valid"):
        decode_job(body, CALL, "")


def test_key_is_kept_as_a_digest():
    """Guard against an API key in messages, logs or errors."""
    assert bearer_key_digest("Bearer secret") == key_digest("secret")
    assert bearer_key_digest("Basic secret") == ""
    assert "secret" not in repr(
        decode_job(b"{}", CALL, bearer_key_digest("Bearer secret"))
    )


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path: Path):
    """Guard against a process that fails to start when the platform adds a field."""
    path = tmp_path / "node.toml"
    path.write_text(
        'node_name = "n"\nip = "10.0.0.1"\nzone = "z"\ninternal_ports = [7000, 7015]\n'
        'new_field = 3\n[listen_addrs]\ncontrol = "10.0.0.1:8526"\n'
        '[bounds]\nmax_hold_ms = 6000\n[platform]\naddress = "10.0.0.9:1"\n'
    )
    settings = agent_settings(read_node_file(path))
    assert settings.lease_times.max_duration == 6.0
    assert settings.metrics_address == "10.0.0.1:7000"
    assert settings.store_url == "http://10.0.0.9:1"


def test_times_of_stops_are_decoded(tmp_path: Path):
    """Guard against stops that cost the same on each deployment."""
    path = tmp_path / "node.toml"
    path.write_text(
        'node_name = "n"\nip = "10.0.0.1"\nzone = "z"\ninternal_ports = [7000, 7015]\n'
        "[bounds]\nmax_hold_ms = 6000\ncheckpoint_interval_s = 1.5\n"
        'restore_ms = 600\nstop_grace_ms = 900\n[platform]\naddress = "10.0.0.9:1"\n'
    )
    times = entry_settings(read_node_file(path)).stop_times
    assert times == StopTimes(checkpoint_interval=1.5, restore=0.6, longest_stop=0.9)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (None, "can't be read"),
        ("= 3", "not TOML"),
        ('node_name = "n"', "bounds"),
    ],
)
def test_bad_settings_name_the_field(tmp_path: Path, text, words):
    """Guard against a traceback instead of an error that names the field."""
    path = tmp_path / "node.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError, match=words):
        read_node_file(path)
