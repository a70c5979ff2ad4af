"""Follow the changes of one table of the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import FEED_CALL_ABANDONED
from wasabispur_core.message import Message
from wasabispur_core.metric import FEED_FAILURES
from wasabispur_core.storage.feed import (
    decide,
    FeedAnswer,
    FeedDue,
    FeedFailed,
    FeedHealth,
    FetchChanges,
    FetchPage,
    LONG_POLL_TIMEOUT,
    new_feed_state,
    RowsChanged,
    TableDelivered,
)
from wasabispur_core.timer import TimerService

from .actor import Close
from .decision_actor import DecisionActor, execute
from .http_call import HttpClient
from .log import log
from .metrics import registry
from .thread_call import call_on_thread, ThreadsStoppedError

CALL_LIMIT = 10.0
"""Seconds after which a call counts as hung; its own time limits are shorter."""

OVERDUE_TIMER = "overdue"

Receiver = Callable[[Message], None]
FeedTransport = Callable[[Any, HttpClient], FeedAnswer]
"""Make one blocking feed call in the protocol of the platform's store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallOverdue(Message):
    """Report that a call of the feed has reached its limit."""

    call_number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FeedSource:
    """Describe the source of a feed: the store, its protocol, and one table.

    If watched is not set, the feed ends after the first read. call_timeout is in
    seconds, as is long_poll, for which the store waits for a change.
    """

    url: str
    transport: FeedTransport
    table: str
    prefixes: tuple[str, ...]
    watched: bool = True
    call_timeout: float = 3.0
    long_poll: float = LONG_POLL_TIMEOUT


class TableFeed(DecisionActor):
    """Read a table, then follow its changes, and pass both to one receiver."""

    def __init__(
        self,
        timers: TimerService,
        source: FeedSource,
        receiver: Receiver,
        random: Random,
        catalogue: ChartCatalogue,
    ) -> None:
        state = new_feed_state(
            source.table,
            source.prefixes,
            source.watched,
            random,
            catalogue,
            source.long_poll,
        )
        super().__init__(f"feed:{source.table}", timers, state, decide)
        self.source = source
        self.receiver = receiver
        self.client, self.thread = self._new_client(), self._new_thread()
        self.calls: set[asyncio.Task[None]] = set()
        self.call_number = 0

    async def opened(self) -> None:
        """Request the first read."""
        self.post(FeedDue())

    def send(self, command: Any) -> None:
        """Make one call on the feed's thread."""
        self.call_number += 1
        overdue = CallOverdue(call_number=self.call_number)
        self.set_timer(OVERDUE_TIMER, CALL_LIMIT, overdue)
        task = asyncio.get_running_loop().create_task(self._call(command))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _call(self, command: Any) -> None:
        failed: FeedAnswer = FeedFailed(reason="the call failed")
        number = self.call_number
        with suppress(ThreadsStoppedError):
            answer = await call_on_thread(
                self.thread,
                self.name,
                command,
                partial(self.source.transport, command, self.client),
                failed,
            )
            if number == self.call_number:
                self.cancel_timer(OVERDUE_TIMER)
                self.post_urgent(answer)

    def on_feed_failed(self, message: FeedFailed) -> None:
        """Count the failed call, and decide on the next one."""
        registry.count(FEED_FAILURES, actor=self.name)
        self.on_message(message)

    def on_call_overdue(self, message: CallOverdue) -> None:
        """Abandon a call that does not end, with its thread and its connection.

        Without this, one call that hangs would end the feed for good.
        """
        if message.call_number != self.call_number:
            return
        log(FEED_CALL_ABANDONED, table=self.source.table, seconds=CALL_LIMIT)
        self.call_number += 1
        self._release_thread()
        self.client, self.thread = self._new_client(), self._new_thread()
        self.on_feed_failed(FeedFailed(reason="the call did not end"))

    def _new_client(self) -> HttpClient:
        return HttpClient(self.source.url, 1, self.source.call_timeout)

    def _new_thread(self) -> ThreadPoolExecutor:
        return ThreadPoolExecutor(1, thread_name_prefix=self.name)

    def _release_thread(self) -> None:
        self.thread.shutdown(wait=False, cancel_futures=True)
        self.client.close()

    def stop_delivery(self) -> None:
        """Deliver no more messages, and stop without being awaited."""
        self.receiver = _discard
        self.post_urgent(Close())

    async def closed(self) -> None:
        """Stop the thread and close the connection."""
        self._release_thread()


@dataclass(frozen=True, slots=True, kw_only=True)
class FeedFactory:
    """Create the feeds of one process from one store's tables."""

    timers: TimerService
    url: str
    transport: FeedTransport
    catalogue: ChartCatalogue

    def create(
        self,
        table: str,
        prefixes: tuple[str, ...],
        receiver: Receiver,
        watched: bool = True,
        long_poll: float = LONG_POLL_TIMEOUT,
    ) -> TableFeed:
        """Return a new feed of a table's rows; the feed is not started."""
        source = FeedSource(
            url=self.url,
            transport=self.transport,
            table=table,
            prefixes=prefixes,
            watched=watched,
            long_poll=long_poll,
        )
        return TableFeed(self.timers, source, receiver, Random(), self.catalogue)


def _discard(message: Message) -> None:
    """Ignore a message of a feed whose delivery was stopped."""


@execute.register(FetchPage)
@execute.register(FetchChanges)
def _(command: FetchPage | FetchChanges, actor: TableFeed) -> None:
    actor.send(command)


@execute.register(TableDelivered)
@execute.register(RowsChanged)
@execute.register(FeedHealth)
def _(command: TableDelivered | RowsChanged | FeedHealth, actor: TableFeed) -> None:
    actor.receiver(command)
