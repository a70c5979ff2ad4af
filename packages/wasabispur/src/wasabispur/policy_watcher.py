"""Watch the operators' configuration row for an entry of the workload plane."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from wasabispur_core.circuit import ServiceReachable, ServiceUnreachable
from wasabispur_core.feed import FeedHealth, RowsChanged, TableDelivered
from wasabispur_core.message import Message
from wasabispur_core.store import Row
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.fleet_state import ClocksRead
from wasabispur_core.workload.policy import FleetPolicy, PolicyChanged, PolicyHealth
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.table_feed import TableFeed

DecodePolicy = Callable[[Row], FleetPolicy | None]
"""Returns the configuration in a row, or None if the row contains none."""


class PolicyWatcher(Actor):
    """Pass each newer version of the configuration to the actors that use it."""

    def __init__(
        self,
        timers: TimerService,
        decode: DecodePolicy,
        open_feed: Callable[[Callable[[Message], None]], TableFeed],
        listeners: Iterable[Actor],
        table: Actor,
    ) -> None:
        super().__init__("policy-watcher", timers)
        self.decode = decode
        self.listeners = list(listeners)
        self.feed = open_feed(self.post_urgent)
        self.table = table
        self.version = 0
        self.connected = False

    async def opened(self) -> None:
        """Start to watch the row."""
        self.feed.start()

    async def closed(self) -> None:
        """Stop the feed."""
        await self.feed.close()

    def on_table_delivered(self, message: TableDelivered) -> None:
        """Apply the current row."""
        self.connected = True
        self._notify_listeners(ClocksRead(store_time=message.store_time, wall_time=0.0))
        self._apply_rows(message.rows)

    def on_rows_changed(self, message: RowsChanged) -> None:
        """Apply a change of the row."""
        self._apply_rows(message.rows)

    def on_feed_health(self, message: FeedHealth) -> None:
        """Report whether the store is reachable, and the configuration confirmed."""
        self.connected = message.healthy
        self._notify_listeners(PolicyHealth(confirmed=message.healthy))
        self.table.post(ServiceReachable() if message.healthy else ServiceUnreachable())

    def _apply_rows(self, rows: Iterable[Row]) -> None:
        for row in rows:
            policy = self.decode(row)
            if policy is None or policy.version <= self.version:
                continue
            self.version = policy.version
            self._notify_listeners(PolicyChanged(policy=policy))

    def _notify_listeners(self, message: Message) -> None:
        for listener in self.listeners:
            listener.post(message)
