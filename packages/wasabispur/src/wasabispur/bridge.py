"""Pass calls from an entry instance's HTTP threads to actors on the event loop."""

from __future__ import annotations

import asyncio
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from wasabispur_core.error import WasabispurError
from wasabispur_core.message import Message
from wasabispur_runtime.actor import Actor


class ReplyTimeoutError(WasabispurError):
    """Report that an actor did not reply in time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Ask(Message):
    """Carry a message from a thread and the future for its reply."""

    message: Message
    reply: Future[Any]


class Bridge:
    """Send messages from threads to actors and wait for the replies."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def ask(self, actor: Actor, message: Message, timeout: float) -> Any:
        """Return the actor's reply; raise ReplyTimeoutError after timeout seconds."""
        reply: Future[Any] = Future()
        self.loop.call_soon_threadsafe(self._post, actor, message, reply)
        try:
            return reply.result(timeout)
        except TimeoutError as error:
            raise ReplyTimeoutError(
                f"{actor.name} did not reply within {timeout:g} s",
                "look up the request by its id, or retry if it is idempotent",
            ) from error

    def _post(self, actor: Actor, message: Message, reply: Future[Any]) -> None:
        try:
            actor.post(Ask(message=message, reply=reply))
        except WasabispurError as error:
            reply.set_exception(error)
