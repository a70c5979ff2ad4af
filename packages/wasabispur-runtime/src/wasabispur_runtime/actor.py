"""Define the actor base class of the active components of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from inspect import isawaitable
from typing import Any, NoReturn

from wasabispur_core.error import (
    MailboxFullError,
    UnhandledMessageError,
    WasabispurError,
)
from wasabispur_core.log_event import (
    HANDLER_FAILED,
    MAILBOX_FULL,
    MESSAGE_REJECTED,
)
from wasabispur_core.message import event_name, Message
from wasabispur_core.timer import Subscription, TimerService

from .log import log, log_failure

MAILBOX_LIMIT = 20_000
"""Messages that may wait in one mailbox."""

FAILED_TIMER_DELAY = 1.0
"""Seconds after which the message of a timer is handled again if its handler failed.

Many timers are set by the handler of the one before, and would stop otherwise.
"""

Handler = Callable[[Any], Awaitable[None] | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Close(Message):
    """Ask an actor to stop after the messages that are already queued."""


class Actor:
    """Handle typed messages one at a time, in the order of their arrival.

    No other actor uses its state or its sockets. A message of class SomeEvent is
    passed to the method on_some_event, which may be a coroutine, and to on_message
    if there is no such method. Subclasses override opened() to acquire their
    resources and closed() to release them.
    """

    mailbox_limit = MAILBOX_LIMIT

    def __init__(self, name: str, timers: TimerService) -> None:
        self.name = name
        self.timers = timers
        self.mailbox: asyncio.Queue[Message] = asyncio.Queue()
        self.overloaded = False
        self.handler_failed = False
        self.subscriptions: dict[str, Subscription] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that handles messages on the running event loop."""
        self.task = asyncio.get_running_loop().create_task(self.run(), name=self.name)

    def post(self, message: Message) -> None:
        """Queue a message; raise MailboxFullError if the mailbox is at its limit."""
        if self.mailbox.qsize() >= self.mailbox_limit:
            self._reject(message)
        self.mailbox.put_nowait(message)

    def post_urgent(self, message: Message) -> None:
        """Queue a message even if the mailbox is at its limit.

        This is for messages whose number is bounded elsewhere, such as timers, answers
        to calls, changes from feeds and the ends of sessions. If one of them were
        dropped, the call would never end or the state would never be removed.
        """
        self.mailbox.put_nowait(message)

    def set_timer(self, timer_id: str, delay: float, message: Message) -> None:
        """Post the message to this actor after delay seconds.

        A timer that is set under the same id is replaced.
        """
        self.cancel_timer(timer_id)
        self.subscriptions[timer_id] = self.timers.subscribe(
            delay, self._receive_timer, _TimerFired(timer_id=timer_id, message=message)
        )

    def cancel_timer(self, timer_id: str) -> None:
        """Cancel a timer if it is set."""
        subscription = self.subscriptions.pop(timer_id, None)
        if subscription is not None:
            subscription.cancel()

    async def close(self) -> None:
        """Handle the queued messages, release the resources, and stop."""
        if self.task is None or self.task.done():
            return
        self.post_urgent(Close())
        await self.task

    async def run(self) -> None:
        """Handle messages until Close arrives."""
        await self.opened()
        try:
            while True:
                message = await self.mailbox.get()
                if isinstance(message, Close):
                    break
                self._clear_overload()
                if isinstance(message, _TimerFired):
                    await self._handle_timer(message)
                else:
                    await self.handle(message)
        finally:
            for subscription in self.subscriptions.values():
                subscription.cancel()
            self.subscriptions.clear()
            await self.closed()

    async def handle(self, message: Message) -> None:
        """Pass one message to its handler, and log the handler's errors."""
        name = event_name(message)
        handler: Handler = getattr(self, f"on_{name}", self.on_message)
        try:
            result = handler(message)
            if isawaitable(result):
                await result
        except MailboxFullError:
            # The actor whose mailbox is full has logged the rejection.
            self.handler_failed = True
        except WasabispurError as error:
            self.handler_failed = True
            log(MESSAGE_REJECTED, actor=self.name, message_name=name, error=str(error))
        except Exception as error:
            self.handler_failed = True
            log_failure(
                HANDLER_FAILED, actor=self.name, message_name=name, error=str(error)
            )

    async def opened(self) -> None:
        """Acquire the actor's resources; called before the first message."""

    async def closed(self) -> None:
        """Release the actor's resources; called after the last message."""

    def on_message(self, message: Message) -> Awaitable[None] | None:
        """Handle a message for which no on_ method is defined."""
        raise UnhandledMessageError(
            f"actor {self.name} does not handle {type(message).__name__}",
            f"define on_{event_name(message)}, or post the message to another actor",
        )

    def _reject(self, message: Message) -> NoReturn:
        name = event_name(message)
        # Logs once for each time the mailbox fills up. A record for every rejected
        # message would add to the overload.
        if not self.overloaded:
            self.overloaded = True
            log(MAILBOX_FULL, actor=self.name, message_name=name)
        raise MailboxFullError(
            f"mailbox of {self.name} is at its limit of {self.mailbox_limit} messages",
            "send fewer messages, or retry after a delay",
        )

    def _clear_overload(self) -> None:
        if self.overloaded and self.mailbox.qsize() <= self.mailbox_limit // 2:
            self.overloaded = False

    def _receive_timer(self, message: Message) -> None:
        if not isinstance(message, _TimerFired):
            return
        self.subscriptions.pop(message.timer_id, None)
        self.post_urgent(message)

    async def _handle_timer(self, timer: _TimerFired) -> None:
        """Handle the message of a timer, and set the timer again after a failure."""
        self.handler_failed = False
        await self.handle(timer.message)
        if self.handler_failed and timer.timer_id not in self.subscriptions:
            self.set_timer(timer.timer_id, FAILED_TIMER_DELAY, timer.message)


@dataclass(frozen=True, slots=True, kw_only=True)
class _TimerFired(Message):
    """Report that a timer fired, with its id and its message."""

    timer_id: str
    message: Message
