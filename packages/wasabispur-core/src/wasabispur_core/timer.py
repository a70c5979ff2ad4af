"""Define the timer service and its fake for tests."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Protocol

from .message import Message

Receiver = Callable[[Message], None]


class Subscription(Protocol):
    """Stand for one timer that has not fired yet."""

    def cancel(self) -> None:
        """Drop the timer; has no effect once it has fired."""


class TimerService(Protocol):
    """Give the monotonic time and deliver messages after a delay."""

    def now(self) -> float:
        """Return monotonic seconds, comparable within this process only."""

    def subscribe(
        self, delay: float, receiver: Receiver, message: Message
    ) -> Subscription:
        """Deliver the message to the receiver after delay seconds."""


class FakeSubscription:
    """Hold one timer of the fake timer service."""

    def __init__(self, receiver: Receiver, message: Message) -> None:
        self.receiver = receiver
        self.message = message
        self.cancelled = False

    def cancel(self) -> None:
        """Drop the timer."""
        self.cancelled = True


class FakeTimerService:
    """Advance time only on request, for tests and measurements."""

    def __init__(self, start: float = 0.0) -> None:
        self.time = start
        self.sequence = count()
        self.queue: list[tuple[float, int, FakeSubscription]] = []

    def now(self) -> float:
        """Return the fake time in seconds."""
        return self.time

    def subscribe(
        self, delay: float, receiver: Receiver, message: Message
    ) -> FakeSubscription:
        """Deliver the message when the fake time has advanced by delay seconds."""
        subscription = FakeSubscription(receiver, message)
        due = self.time + max(delay, 0.0)
        heapq.heappush(self.queue, (due, next(self.sequence), subscription))
        return subscription

    def advance(self, seconds: float) -> None:
        """Move time forward and fire every timer that falls due, in order."""
        end = self.time + seconds
        while self.queue and self.queue[0][0] <= end:
            self.time, _, subscription = heapq.heappop(self.queue)
            if not subscription.cancelled:
                subscription.receiver(subscription.message)
        self.time = end
