"""Provide the timer service on the event loop's monotonic clock."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from wasabispur_core.message import Message
from wasabispur_core.timer import Receiver, TimerService


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeLimitReached(Message):
    """Report that the delay of time_limit() or sleep() has passed."""


@asynccontextmanager
async def time_limit(timers: TimerService, seconds: float) -> AsyncIterator[None]:
    """Cancel the body and raise TimeoutError after seconds of the timer service.

    The timer service, not the event loop, measures the time, so tests can use
    their own clock.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        subscription = timers.subscribe(
            seconds, lambda _: timeout.reschedule(loop.time()), TimeLimitReached()
        )
        try:
            yield
        finally:
            subscription.cancel()


async def sleep(timers: TimerService, seconds: float) -> None:
    """Return after seconds of the timer service."""
    due = asyncio.Event()
    timers.subscribe(seconds, lambda _: due.set(), TimeLimitReached())
    await due.wait()


class LoopTimerService:
    """Deliver timer messages on one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.loop.time()

    def subscribe(
        self, delay: float, receiver: Receiver, message: Message
    ) -> asyncio.TimerHandle:
        """Deliver the message to the receiver after delay seconds."""
        return self.loop.call_later(max(delay, 0.0), receiver, message)
