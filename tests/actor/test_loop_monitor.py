"""Test the watch over the event loop."""

from __future__ import annotations

import asyncio

from wasabispur_core.log_event import LOOP_STALLED
from wasabispur_core.timer import FakeTimerService
from wasabispur_runtime import loop_monitor
from wasabispur_runtime.loop_monitor import CHECK_INTERVAL, LoopMonitor, STALL_LIMIT


def test_loop_that_serves_no_message_counts_as_stalled(monkeypatch):
    """Guard against an entry that says it is ready while its event loop hangs."""
    logged: list[tuple[int, dict[str, float]]] = []
    monkeypatch.setattr(
        loop_monitor, "log", lambda event, **fields: logged.append((event, fields))
    )

    async def scenario() -> None:
        timers = FakeTimerService(1000.0)
        monitor = LoopMonitor(timers)
        monitor.start()
        for _ in range(20):
            await asyncio.sleep(0)
            timers.advance(CHECK_INTERVAL)
        await asyncio.sleep(0)
        assert not monitor.stalled
        # Timers fire, and the loop does not serve them.
        timers.advance(STALL_LIMIT + 1.0)
        assert monitor.stalled
        assert not logged
        for _ in range(3):
            await asyncio.sleep(0)
        assert not monitor.stalled
        await monitor.close()

    asyncio.run(scenario())
    assert logged == [(LOOP_STALLED, {"seconds": STALL_LIMIT + 1.0})]
