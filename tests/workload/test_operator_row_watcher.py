"""Guard the entry instance's view of the configuration and of the store's health."""

from __future__ import annotations

from wasabispur_core.storage.circuit import ServiceReachable, ServiceUnreachable
from wasabispur_core.storage.feed import FeedHealth, RowsChanged, TableDelivered
from wasabispur_core.storage.store import Row
from wasabispur_core.timer import FakeTimerService
from wasabispur_core.workload.intake.intake import POLICY_AGE_LIMIT
from wasabispur_core.workload.policies.policy import (
    FleetPolicy,
    PolicyChanged,
    PolicyHealth,
)
from wasabispur_runtime.operator_row_watcher import OperatorRowWatcher

from .world import started_world, tasks


class Listener:
    def __init__(self):
        self.messages = []

    def post(self, message):
        self.messages.append(message)


def row(version: int) -> Row:
    return Row(key="k", version=version, operation_id="", value={"version": version})


def new_watcher() -> tuple[OperatorRowWatcher, Listener, Listener]:
    listener, table = Listener(), Listener()
    watcher = OperatorRowWatcher(
        FakeTimerService(),
        lambda found: FleetPolicy(version=found.value["version"]),
        lambda receiver: None,
        (listener,),
        table,
    )
    return watcher, listener, table


def versions(listener: Listener) -> list[int]:
    return [
        message.policy.version
        for message in listener.messages
        if isinstance(message, PolicyChanged)
    ]


def test_configuration_never_goes_back():
    """Guard against a delayed row that puts an older configuration in force."""
    watcher, listener, _ = new_watcher()
    watcher.on_table_delivered(
        TableDelivered(
            table="t", rows=(row(3),), version=1, store_time=1.0, again=False
        )
    )
    for version in (2, 3, 5, 4):
        watcher.on_rows_changed(
            RowsChanged(table="t", rows=(row(version),), removed=(), store_time=1.0)
        )
    assert versions(listener) == [3, 5]


def test_store_that_is_back_is_tried_at_once():
    """Guard against calls that are delayed for seconds after an outage.

    Clients retried up to two seconds after the store was reachable again.
    """
    watcher, _, table = new_watcher()
    watcher.on_feed_health(FeedHealth(table="t", healthy=False))
    assert not watcher.connected
    assert table.messages == [ServiceUnreachable()]
    watcher.on_feed_health(FeedHealth(table="t", healthy=True))
    assert watcher.connected
    assert table.messages == [ServiceUnreachable(), ServiceReachable()]


def test_configuration_that_is_not_confirmed_admits_no_callers_for_long():
    """Guard against an entry that serves a withdrawn key because its feed is lost."""
    world = started_world()
    entry = world.entries[0]
    entry.post(PolicyHealth(confirmed=False))
    world.advance(1)
    entry.post(PolicyHealth(confirmed=False))
    early = world.submit(tasks(1))
    world.advance(POLICY_AGE_LIMIT)
    late = world.submit(tasks(1))
    world.advance(0.5)
    assert early in world.accepted
    assert late in world.refused
    entry.post(PolicyHealth(confirmed=True))
    again = world.submit(tasks(1))
    world.advance(0.5)
    assert again in world.accepted
