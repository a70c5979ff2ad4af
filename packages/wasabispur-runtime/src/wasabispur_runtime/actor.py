"""Define the base of every active component of a process."""

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

Handler = Callable[[Any], Awaitable[None] | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Close(Message):
    """Ask an actor to stop after the messages that are already queued."""


class Actor:
    """Own state and sockets, and handle typed messages one at a time.

    A message of class SomeEvent goes to the method on_some_event, which may be
    a coroutine; on_message takes the rest. Subclasses override opened() and
    closed() to acquire and release what they own.
    """

    mailbox_limit = MAILBOX_LIMIT

    def __init__(self, name: str, timers: TimerService) -> None:
        self.name = name
        self.timers = timers
        self.mailbox: asyncio.Queue[Message] = asyncio.Queue()
        self.overloaded = False
        self.subscriptions: dict[str, Subscription] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to handle messages on the running event loop."""
        self.task = asyncio.get_running_loop().create_task(self.run(), name=self.name)

    def post(self, message: Message) -> None:
        """Queue a message; raise MailboxFullError at the limit."""
        if self.mailbox.qsize() >= self.mailbox_limit:
            self._reject(message)
        self.mailbox.put_nowait(message)

    def post_urgent(self, message: Message) -> None:
        """Queue a message even at the limit.

        Only for messages whose number is bounded elsewhere, such as timers and
        the ends of sessions: to lose one would leave state behind for ever.
        """
        self.mailbox.put_nowait(message)

    def set_timer(self, timer_id: str, delay: float, message: Message) -> None:
        """Post the message to this actor after delay seconds."""
        self.cancel_timer(timer_id)
        self.subscriptions[timer_id] = self.timers.subscribe(
            delay, self._receive_timer, _TimerFired(timer_id=timer_id, message=message)
        )

    def cancel_timer(self, timer_id: str) -> None:
        """Drop a timer if it is set."""
        subscription = self.subscriptions.pop(timer_id, None)
        if subscription is not None:
            subscription.cancel()

    async def close(self) -> None:
        """Handle what is queued, release what is owned, and stop."""
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
                await self.handle(message)
        finally:
            for subscription in self.subscriptions.values():
                subscription.cancel()
            self.subscriptions.clear()
            await self.closed()

    async def handle(self, message: Message) -> None:
        """Pass one message to its handler; log errors and go on."""
        name = event_name(message)
        handler: Handler = getattr(self, f"on_{name}", self.on_message)
        try:
            result = handler(message)
            if isawaitable(result):
                await result
        except MailboxFullError:
            # The actor that refused the message has logged it.
            return
        except WasabispurError as error:
            log(MESSAGE_REJECTED, actor=self.name, message_name=name, error=str(error))
        except Exception as error:
            log_failure(
                HANDLER_FAILED, actor=self.name, message_name=name, error=str(error)
            )

    async def opened(self) -> None:
        """Acquire what the actor owns; runs before the first message."""

    async def closed(self) -> None:
        """Release what the actor owns; runs after the last message."""

    def on_message(self, message: Message) -> Awaitable[None] | None:
        """Handle a message that has no handler of its own."""
        raise UnhandledMessageError(
            f"{self.name} does not take {type(message).__name__}",
            f"define on_{event_name(message)} or send it elsewhere",
        )

    def _reject(self, message: Message) -> NoReturn:
        name = event_name(message)
        # One record for each time the mailbox fills up: a record for every
        # dropped message would multiply the overload.
        if not self.overloaded:
            self.overloaded = True
            log(MAILBOX_FULL, actor=self.name, message_name=name)
        raise MailboxFullError(
            f"mailbox of {self.name} holds {self.mailbox_limit} messages",
            "send less, or retry after a delay",
        )

    def _clear_overload(self) -> None:
        if self.overloaded and self.mailbox.qsize() <= self.mailbox_limit // 2:
            self.overloaded = False

    def _receive_timer(self, message: Message) -> None:
        if not isinstance(message, _TimerFired):
            return
        self.subscriptions.pop(message.timer_id, None)
        self.post_urgent(message.message)


@dataclass(frozen=True, slots=True, kw_only=True)
class _TimerFired(Message):
    """Carry a timer's message together with the timer's id."""

    timer_id: str
    message: Message
