"""Provide the timer service on the event loop's monotonic clock."""

from __future__ import annotations

import asyncio

from wasabispur_core.message import Message
from wasabispur_core.timer import Receiver


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
