"""Watch the row with the fleet's load for the job intake of an entry instance."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from returns.result import Failure

from wasabispur_core.message import Message
from wasabispur_core.storage.feed import FeedHealth, RowsChanged, TableDelivered
from wasabispur_core.storage.store import Row
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.admission.load_knowledge import (
    LoadArrived,
    LoadUnreadable,
)
from wasabispur_core.workload.admission.load_row import FleetLoad, load_key
from wasabispur_core.workload.rows import unpack

from .actor import Actor
from .table_feed import TableFeed

LOAD_LONG_POLL = 4.0
"""Seconds for which the store waits for a change of the load.

A change is delivered at once whatever this time is. A connection that has gone silent
only makes the load outdated, and jobs accepted.
"""


class LoadWatcher(Actor):
    """Pass the load to the job intake as it changes."""

    def __init__(
        self,
        timers: TimerService,
        open_feed: Callable[[Callable[[Message], None]], TableFeed],
        intake: Actor,
    ) -> None:
        super().__init__("load-watcher", timers)
        self.feed = open_feed(self.post_urgent)
        self.intake = intake

    async def opened(self) -> None:
        """Start to watch the row."""
        self.feed.start()

    async def closed(self) -> None:
        """Stop the feed."""
        await self.feed.close()

    def on_table_delivered(self, message: TableDelivered) -> None:
        """Pass on the load, if there is one."""
        self._apply_rows(message.rows, message.store_time)

    def on_rows_changed(self, message: RowsChanged) -> None:
        """Pass on a changed load, or that it was removed."""
        self._apply_rows(message.rows, message.store_time)
        if load_key() in message.removed:
            self.intake.post(LoadUnreadable(error="its row was removed"))

    def on_feed_health(self, message: FeedHealth) -> None:
        """Ignore the feed's health: a load that isn't renewed becomes outdated."""

    def _apply_rows(self, rows: Iterable[Row], store_time: float) -> None:
        for row in rows:
            if row.key == load_key():
                self.intake.post(load_message(row, store_time))


def load_message(row: Row, store_time: float) -> Message:
    """Return the message with the load in a row, or with the reason why it has none."""
    result = unpack(FleetLoad, row.value)
    if isinstance(result, Failure):
        return LoadUnreadable(error=str(result.failure()))
    return LoadArrived(load=result.unwrap(), store_time=store_time)
