"""Test that a feed goes on after calls that hang, fail for long or answer too much."""

from __future__ import annotations

import asyncio
import threading
from random import Random
from typing import Any

import pytest

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import FEED_CALL_ABANDONED, FEED_LOST, FEED_STALE
from wasabispur_core.storage.feed import (
    ChangesDelivered,
    decide,
    FeedAnswer,
    FeedDue,
    FeedFailed,
    FeedHealth,
    FetchChanges,
    HistoryGone,
    new_feed_state,
    PageDelivered,
    RowsChanged,
    STALE_LOG_INTERVAL,
    TableDelivered,
)
from wasabispur_core.storage.store import Row
from wasabispur_core.timer import FakeTimerService
from wasabispur_platform.store_wire import send_feed_call
from wasabispur_runtime import table_feed
from wasabispur_runtime.http_call import HttpClient, ResponseLost
from wasabispur_runtime.table_feed import CALL_LIMIT, FeedSource, TableFeed

ROW = Row(key="t/p/k", version=5, operation_id="", value={"a": 1})
PAGE = PageDelivered(rows=(), next_key=None, version=4, store_time=1.0)
CHANGE = ChangesDelivered(rows=(ROW,), removed=(), version=5, store_time=2.0)


class HangingStore:
    """Answer the first page, let the next call hang, and answer all later ones."""

    def __init__(self) -> None:
        self.released = threading.Event()
        self.calls = 0

    def answer(self, command: Any, client: HttpClient) -> FeedAnswer:
        """Answer one call of the feed."""
        self.calls += 1
        if self.calls == 1:
            return PAGE
        if self.calls == 2:
            self.released.wait()
        if self.calls > 3:
            self.released.wait()
        return CHANGE


async def until(condition: Any) -> None:
    """Let the loop run until a condition holds."""
    while not condition():
        await asyncio.sleep(0.001)


def test_feed_goes_on_after_a_call_that_does_not_end(monkeypatch):
    """Guard against a feed that stands still for good, and tells nobody."""
    logged: list[Any] = []
    monkeypatch.setattr(table_feed, "log", lambda event, **fields: logged.append(event))
    store = HangingStore()
    received: list[Any] = []

    async def scenario() -> None:
        timers = FakeTimerService(1000.0)
        source = FeedSource(
            url="http://127.0.0.1:1",
            transport=store.answer,
            table="t",
            prefixes=("t/p/",),
        )
        feed = TableFeed(timers, source, received.append, Random(1), ChartCatalogue())
        feed.start()
        await until(lambda: store.calls == 2)
        timers.advance(CALL_LIMIT + 0.1)
        await until(lambda: FeedHealth(table="t", healthy=False) in received)
        timers.advance(1.0)
        await until(lambda: any(isinstance(one, RowsChanged) for one in received))
        store.released.set()
        await feed.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))
    assert logged == [FEED_CALL_ABANDONED]
    assert isinstance(received[0], TableDelivered)
    assert received[-1] == FeedHealth(table="t", healthy=True)


def test_feed_without_answers_is_logged_again_and_again():
    """Guard against an old state that shows in one log line of long ago only."""
    state = new_feed_state("t", ("t/p/",), True, Random(1), ChartCatalogue())
    decide(FeedDue(), state, 0.0)
    numbers: list[int] = []
    for step in range(100):
        commands = decide(FeedFailed(reason="fault"), state, 0.2 * step)
        numbers += [one.number for one in commands if hasattr(one, "number")]
        decide(FeedDue(), state, 0.2 * step)
    again = int(0.2 * 99 / STALE_LOG_INTERVAL)
    assert numbers == [FEED_LOST.number, *[FEED_STALE.number] * again]


@pytest.mark.parametrize("too_long", [True, False])
def test_changes_that_exceed_an_answer_are_read_in_pages(monkeypatch, too_long):
    """Guard against a feed that asks forever for more than it accepts."""
    lost = ResponseLost("the answer exceeds the limit", too_long=too_long)
    client = HttpClient("http://127.0.0.1:1", 1)
    monkeypatch.setattr(client, "call", lambda *args, **fields: lost)
    answer = send_feed_call(FetchChanges(table="t", after=1, wait=0.0), client)
    assert isinstance(answer, HistoryGone if too_long else FeedFailed)
