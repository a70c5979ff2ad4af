"""Define the timer service and a fake for tests and simulations."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Protocol

from .message import Message

Receiver = Callable[[Message], None]


class Subscription(Protocol):
    """Represent a pending timer."""

    def cancel(self) -> None:
        """Cancel the timer; has no effect once it has fired."""


class TimerService(Protocol):
    """Provide the monotonic time and deliver messages after a delay."""

    def now(self) -> float:
        """Return the monotonic time in seconds, comparable only in this process."""

    def subscribe(
        self, delay: float, receiver: Receiver, message: Message
    ) -> Subscription:
        """Deliver the message to the receiver after delay seconds."""


class FakeSubscription:
    """Represent a pending timer of the fake timer service."""

    def __init__(self, receiver: Receiver, message: Message) -> None:
        self.receiver = receiver
        self.message = message
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the timer."""
        self.cancelled = True


class FakeTimerService:
    """Provide a timer service whose time advances only on request."""

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
        """Deliver the message after the fake time has advanced by delay seconds."""
        subscription = FakeSubscription(receiver, message)
        due = self.time + max(delay, 0.0)
        heapq.heappush(self.queue, (due, next(self.sequence), subscription))
        return subscription

    def advance(self, seconds: float) -> None:
        """Advance the time and fire every timer that becomes due, in order."""
        end = self.time + seconds
        while self.queue and self.queue[0][0] <= end:
            self.time, _, subscription = heapq.heappop(self.queue)
            if not subscription.cancelled:
                subscription.receiver(subscription.message)
        self.time = end
