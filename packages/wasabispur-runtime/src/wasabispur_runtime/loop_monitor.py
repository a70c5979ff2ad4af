"""Watch whether the event loop serves messages, also as seen from other threads."""

from __future__ import annotations

from dataclasses import dataclass

from wasabispur_core.log_event import LOOP_STALLED
from wasabispur_core.message import Message
from wasabispur_core.metric import LOOP_STALLS
from wasabispur_core.timer import TimerService

from .actor import Actor
from .log import log
from .metrics import registry

CHECK_INTERVAL = 0.25
"""Seconds between two checks."""

STALL_LIMIT = 2.0
"""Seconds without a check after which the loop counts as stalled."""

CHECK_TIMER = "check"


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckLoop(Message):
    """Request a check; that it is handled shows that the loop serves messages."""


class LoopMonitor(Actor):
    """Record when the event loop last served a message, and log its stalls."""

    def __init__(self, timers: TimerService) -> None:
        super().__init__("loop-monitor", timers)
        self.served_at = timers.now()

    @property
    def stalled(self) -> bool:
        """Return whether the loop serves no messages; any thread may ask."""
        return self.timers.now() - self.served_at > STALL_LIMIT

    async def opened(self) -> None:
        """Begin to check the loop."""
        self.post(CheckLoop())

    def on_check_loop(self, message: CheckLoop) -> None:
        """Record the time, and log how long the loop has served nothing."""
        now = self.timers.now()
        if self.stalled:
            log(LOOP_STALLED, seconds=round(now - self.served_at, 2))
            registry.count(LOOP_STALLS)
        self.served_at = now
        self.set_timer(CHECK_TIMER, CHECK_INTERVAL, CheckLoop())
