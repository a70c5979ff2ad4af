"""Test how the operators' rows with cordons reach the processes that obey them."""

from __future__ import annotations

from base64 import b64encode

import pytest

from wasabispur_core.storage.feed import (
    FetchChanges,
    FetchPage,
    RowsChanged,
    TableDelivered,
)
from wasabispur_core.storage.store import encode_json
from wasabispur_core.timer import FakeTimerService
from wasabispur_core.workload.policies.cordon import CordonsChanged
from wasabispur_core.workload.policies.policy import PolicyChanged
from wasabispur_platform.node_settings import (
    agent_settings,
    entry_settings,
    read_node_file,
)
from wasabispur_platform.policy_wire import operator_rows
from wasabispur_platform.store_wire import send_feed_call
from wasabispur_platform.worker_wire import HeartbeatBody
from wasabispur_runtime.operator_row_watcher import OperatorRowWatcher

from .test_policy_and_job_wire import BODY
from .test_store_wire import FakeClient, rows

SETTINGS = """
node_name = "e"
ip = "127.0.0.1"
zone = "a1"
internal_ports = [1, 1]
contracts = [{contracts}]
[bounds]
max_hold_ms = 6000
[platform]
address = "127.0.0.1:1"
"""


def op_row(key: str, value: object, version: int = 1, **fields) -> dict:
    return {"table": "op", "key": key, "value": value, "ver": version, **fields}


class Listener:
    def __init__(self):
        self.messages = []

    def post(self, message):
        self.messages.append(message)

    def cordons(self) -> list[set[str]]:
        found = [one for one in self.messages if isinstance(one, CordonsChanged)]
        return [set(message.data_centres) for message in found]


def watcher(cordons: bool = True) -> tuple[OperatorRowWatcher, Listener]:
    listener, source = Listener(), operator_rows().for_deployment(cordons)
    made = OperatorRowWatcher(
        FakeTimerService(),
        source.decode_policy,
        lambda receiver: None,
        (listener,),
        Listener(),
        source.cordon_of,
    )
    return made, listener


def deliver(made: OperatorRowWatcher, *found: dict) -> None:
    """Deliver a first read of the table."""
    page = send_feed_call(FetchPage(prefix="op//", after=""), FakeClient(rows(*found)))
    made.on_table_delivered(
        TableDelivered(table="op", rows=page.rows, version=9, store_time=1, again=False)
    )


def change(made: OperatorRowWatcher, *found: dict) -> None:
    """Deliver a change of the table."""
    command = FetchChanges(table="op", after=1, wait=1.0)
    changes = send_feed_call(command, FakeClient(rows(*found)))
    made.on_rows_changed(
        RowsChanged(
            table="op", rows=changes.rows, removed=changes.removed, store_time=1
        )
    )


@pytest.mark.parametrize(
    "value",
    [
        "",
        None,
        {"nested": {"a": [1]}},
        7,
        "no base64!",
        b64encode(b"{}").decode(),
        b64encode(b"null").decode(),
        b64encode(b"[" * 100_000).decode(),
        b64encode(encode_json({"zone": {"name": ["a2"]}})).decode(),
    ],
)
def test_row_is_a_cordon_whatever_its_value_is(value):
    """Guard against a request that is ignored, or hides the rows beside it."""
    made, listener = watcher()
    config = b64encode(encode_json(BODY)).decode()
    deliver(made, op_row("config", config), op_row("evacuate/a1", value))
    assert listener.cordons() == [{"a1"}]
    assert any(isinstance(one, PolicyChanged) for one in listener.messages)
    change(made, op_row("evacuate/a/2", value, 2))
    assert listener.cordons()[-1] == {"a1", "a/2"}
    change(made, op_row("evacuate/a1", "", 3, tombstone=True))
    assert listener.cordons()[-1] == {"a/2"}


def test_last_of_several_changes_counts():
    """Guard against a request that is lost because it was withdrawn before."""
    made, listener = watcher()
    deliver(made)
    removed = op_row("evacuate/a1", "", 5, tombstone=True)
    change(made, op_row("evacuate/a1", "", 4), removed, op_row("evacuate/a1", "", 6))
    assert listener.cordons() == [set(), {"a1"}]
    change(made, op_row("evacuate/a1", "", 7), {**removed, "ver": 8})
    assert listener.cordons()[-1] == set()


def test_cordon_that_was_withdrawn_during_a_gap_ends_with_the_next_read():
    """Guard against a cordon that never ends because its deletion was missed."""
    made, listener = watcher()
    deliver(made, op_row("evacuate/a1", ""))
    deliver(made, op_row("evacuate/a2", ""))
    assert listener.cordons() == [{"a1"}, {"a2"}]


def test_read_of_an_older_state_ends_no_cordon():
    """Guard against a lagging copy of the table that hides a request."""
    made, listener = watcher()
    deliver(made, op_row("evacuate/a1", "", 12))
    deliver(made)
    assert listener.cordons() == [{"a1"}]
    change(made, op_row("evacuate/a1", "", 13, tombstone=True))
    assert listener.cordons()[-1] == set()


@pytest.mark.parametrize("contracts", ["", '"base", "places"'])
def test_cordons_count_only_where_the_deployment_uses_them(tmp_path, contracts):
    """Guard against a row that stops a deployment which doesn't know cordons."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.format(contracts=contracts), "utf-8")
    node = read_node_file(path)
    enabled = entry_settings(node).cordons
    assert enabled is agent_settings(node).cordons is bool(contracts)
    made, listener = watcher(enabled)
    deliver(made, op_row("evacuate/a1", ""))
    assert listener.cordons() == [{"a1"} if enabled else set()]


@pytest.mark.parametrize(("announced", "seconds"), [(1500, 1.5), (0, 0.0), (-1, 0.0)])
def test_cold_start_is_decoded(announced, seconds):
    """Guard against a worker that counts as warm, or as cold for milliseconds."""
    body = HeartbeatBody(
        service="s",
        address="h:1",
        zone="a1",
        state="ready",
        sequence=1,
        capacity={"cpu": 1, "mem_mb": 1},
        cold_left_ms=announced,
    )
    assert body.announcement("w").info.cold_left == seconds
