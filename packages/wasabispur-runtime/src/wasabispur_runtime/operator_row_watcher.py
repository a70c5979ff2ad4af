"""Watch the operators' rows for an entry instance or an agent.

The rows contain the configuration and the cordons of data centres.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from wasabispur_core.message import Message
from wasabispur_core.storage.circuit import ServiceReachable, ServiceUnreachable
from wasabispur_core.storage.feed import FeedHealth, RowsChanged, TableDelivered
from wasabispur_core.storage.store import Row
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.owner.fleet_message import ClocksRead
from wasabispur_core.workload.policies.cordon import CordonsChanged
from wasabispur_core.workload.policies.policy import (
    FleetPolicy,
    PolicyChanged,
    PolicyHealth,
)

from .actor import Actor
from .table_feed import TableFeed

DecodePolicy = Callable[[Row], FleetPolicy | None]
"""Returns the configuration in a row, or None if the row contains none."""

CordonOf = Callable[[str], str]
"""Returns the data centre that the row with a key cordons, or an empty string."""


def no_cordon(key: str) -> str:
    """Return that a row cordons no data centre, for deployments without cordons."""
    return ""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorRows:
    """Describe where the operators' rows are and how they are decoded."""

    table: str
    prefix: str
    decode_policy: DecodePolicy
    cordon_of: CordonOf = no_cordon

    def for_deployment(self, cordons: bool) -> OperatorRows:
        """Return the rows that count in a deployment with or without cordons."""
        return self if cordons else replace(self, cordon_of=no_cordon)


class OperatorRowWatcher(Actor):
    """Pass newer configurations and changed cordons to the actors that use them.

    cordons maps the cordoned data centres to the versions of their rows, once they have
    been read. table is notified whether the store answers the feed, if it is set.
    """

    def __init__(
        self,
        timers: TimerService,
        decode: DecodePolicy,
        open_feed: Callable[[Callable[[Message], None]], TableFeed],
        listeners: Iterable[Actor],
        table: Actor | None,
        cordon_of: CordonOf = no_cordon,
    ) -> None:
        # Log records and metrics have this name of the actor.
        super().__init__("policy-watcher", timers)
        self.decode = decode
        self.listeners = list(listeners)
        self.feed = open_feed(self.post_urgent)
        self.table = table
        self.cordon_of = cordon_of
        self.cordons: dict[str, int] | None = None
        self.version = 0
        self.connected = False

    async def opened(self) -> None:
        """Start to watch the rows."""
        self.feed.start()

    async def closed(self) -> None:
        """Stop the feed."""
        await self.feed.close()

    def on_table_delivered(self, message: TableDelivered) -> None:
        """Apply the current rows."""
        self.connected = True
        self._notify_listeners(ClocksRead(store_time=message.store_time, wall_time=0.0))
        # A read may be answered with an older state of the table; the changes since
        # then follow.
        known = self.cordons or {}
        later = {name: n for name, n in known.items() if n > message.version}
        self._apply_cordons(later | self._cordons_in(message.rows))
        self._apply_rows(message.rows)

    def on_rows_changed(self, message: RowsChanged) -> None:
        """Apply changed and removed rows."""
        removed = set(map(self.cordon_of, message.removed))
        cordons = (self.cordons or {}) | self._cordons_in(message.rows)
        self._apply_cordons({k: n for k, n in cordons.items() if k not in removed})
        self._apply_rows(message.rows)

    def on_feed_health(self, message: FeedHealth) -> None:
        """Report whether the store is reachable, and the configuration confirmed."""
        self.connected = message.healthy
        self._notify_listeners(PolicyHealth(confirmed=message.healthy))
        if self.table is not None:
            reachable = ServiceReachable() if message.healthy else ServiceUnreachable()
            self.table.post(reachable)

    def _cordons_in(self, rows: Iterable[Row]) -> dict[str, int]:
        """Return the data centres that rows cordon, with the versions of the rows."""
        found = {self.cordon_of(row.key): row.version for row in rows}
        return {name: version for name, version in found.items() if name}

    def _apply_cordons(self, cordons: dict[str, int]) -> None:
        """Notify the listeners of a change, and that there are no cordons at first."""
        known, self.cordons = self.cordons, cordons
        if known is None or known.keys() != cordons.keys():
            self._notify_listeners(CordonsChanged(data_centres=frozenset(cordons)))

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
