"""Run the workload plane's scheduler at an entry instance."""

from __future__ import annotations

import time

from wasabispur_core.log_event import SHARD_OWNED, SHARD_OWNERSHIP_LOST
from wasabispur_core.message import Message
from wasabispur_core.sharding.shard import decide, Shard, ShardTick
from wasabispur_core.storage.feed import FeedHealth, RowsChanged, TableDelivered
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.jobs.unit_stop import CountWaste
from wasabispur_core.workload.owner.fleet_message import ClocksRead, TableReady
from wasabispur_core.workload.rows import (
    job_prefix,
    JOB_TABLE,
    progress_prefix,
    PROGRESS_TABLE,
    report_prefixes,
    REPORT_TABLE,
    unit_page_prefix,
    UNIT_TABLE,
)
from wasabispur_core.workload.run_times.run_time_row import (
    ESTIMATE_TABLE,
    run_times_prefix,
)
from wasabispur_core.workload.watch import StopWatching, WatchTables
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log
from wasabispur_runtime.table_feed import FeedFactory, TableFeed

from .fleet_rows import decode_removal, decode_rows

PREFIXES = {
    JOB_TABLE: (job_prefix(),),
    PROGRESS_TABLE: (progress_prefix(),),
    UNIT_TABLE: (unit_page_prefix(),),
    REPORT_TABLE: tuple(report_prefixes()),
    ESTIMATE_TABLE: (run_times_prefix(),),
}


class FleetScheduler(DecisionActor):
    """Maintain the shard's lease and schedule all workers while it is held."""

    def __init__(
        self, timers: TimerService, shard: Shard, table: Actor, feeds: FeedFactory
    ) -> None:
        super().__init__("fleet-scheduler", timers, shard, decide)
        self.shard = shard
        self.table = table
        self.factory = feeds
        self.feeds: list[TableFeed] = []
        self.owned = False

    async def opened(self) -> None:
        """Start to observe the shard's ownership."""
        self.post(ShardTick())

    async def closed(self) -> None:
        """Stop the feeds."""
        for feed in self.feeds:
            await feed.close()

    def on_table_delivered(self, message: TableDelivered) -> None:
        """Apply the complete rows of a table."""
        self._update_clocks(message.store_time)
        for row_message in decode_rows(message.rows):
            self.on_message(row_message)
        self.on_message(TableReady(table=message.table, rows=len(message.rows)))

    def on_rows_changed(self, message: RowsChanged) -> None:
        """Apply the changed and removed rows of a table."""
        self._update_clocks(message.store_time)
        for row_message in decode_rows(message.rows):
            self.on_message(row_message)
        for key in message.removed:
            removal = decode_removal(key)
            if removal is not None:
                self.on_message(removal)

    def on_feed_health(self, message: FeedHealth) -> None:
        """Forward the health of the feed of worker reports."""
        if message.table == REPORT_TABLE:
            self.on_message(message)

    def on_message(self, message: Message) -> None:
        """Process the message and log a gain or loss of the ownership."""
        super().on_message(message)
        owning = self.shard.scheduler.owning
        if owning is self.owned:
            return
        self.owned = owning
        name = self.shard.ownership.shard
        if owning:
            log(SHARD_OWNED, shard=name, epoch=self.shard.scheduler.epoch)
        else:
            log(SHARD_OWNERSHIP_LOST, shard=name)

    def watch(self, command: WatchTables) -> None:
        """Open a feed for each table."""
        for table in (*command.watched, *command.read):
            watched = table in command.watched
            feed = self.factory.create(
                table, PREFIXES[table], self.post_urgent, watched
            )
            feed.start()
            self.feeds.append(feed)

    def stop_watching(self) -> None:
        """Stop all feeds; rows that still arrive are ignored without ownership."""
        for feed in self.feeds:
            feed.stop_delivery()
        self.feeds = []

    def _update_clocks(self, store_time: float) -> None:
        self.on_message(ClocksRead(store_time=store_time, wall_time=time.time()))


@execute.register
def _(command: WatchTables, actor: FleetScheduler) -> None:
    actor.watch(command)


@execute.register
def _(command: StopWatching, actor: FleetScheduler) -> None:
    actor.stop_watching()


@execute.register
def _(command: CountWaste, actor: FleetScheduler) -> None:
    """Do nothing more: the actor's observer has recorded the metric."""
