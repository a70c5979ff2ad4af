"""Own the agent's connection to one entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from grpclib.client import Channel, StreamStreamMethod

from wasabispur_core.error import ProtocolError
from wasabispur_core.log_event import HANDLER_FAILED, STREAM_FAILED, STREAM_OPENED
from wasabispur_core.message import Message
from wasabispur_core.permit import FromEntry, SendToEntryLink
from wasabispur_core.protocol import Announce, Heartbeat, Welcome
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.codec import FROM_AGENT, MessageCodec, TO_AGENT
from wasabispur_runtime.log import log, log_failure
from wasabispur_runtime.stream import (
    ATTACH_METHOD,
    FRAME_ERRORS,
    INTERVAL_MAXIMUM,
    INTERVAL_MINIMUM,
    limit_frames,
    MessageStream,
    Outgoing,
    STREAM_ERRORS,
)
from wasabispur_runtime.timer_service import time_limit

CONNECT_TIMEOUT = 3.0
"""Seconds within which an entry has to welcome the agent."""

BACKOFF_BASE = 0.2
BACKOFF_LIMIT = 5.0
"""Bounds in seconds of the jittered delay before the next dial."""

STABLE_AFTER = 5.0
"""Seconds after which a stream counts as good and the backoff starts anew."""

CLOSE_TIMEOUT = 3.0
"""Seconds that a planned stop waits for the entry to take the last messages."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DialDue(Message):
    """Tell a link to dial its entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkEnded(Message):
    """Report that the stream of a link ended."""

    reason: str


class EntryLink(Actor):
    """Keep one stream to one entry open; dial again with backoff."""

    def __init__(
        self,
        address: str,
        timers: TimerService,
        announce: Callable[[], Announce],
        heartbeat: Callable[[int], Heartbeat],
        receiver: Callable[[FromEntry], None],
        random: Random,
        welcomed: Callable[[FromEntry], None] = lambda message: None,
    ) -> None:
        super().__init__(f"link:{address}", timers)
        self.address = address
        self.announce = announce
        self.heartbeat = heartbeat
        self.receiver = receiver
        self.welcomed = welcomed
        self.random = random
        self.failures = 0
        self.closing = False
        self.stream: MessageStream | None = None
        self.session: asyncio.Task[None] | None = None

    async def opened(self) -> None:
        """Dial at once."""
        self.post(DialDue())

    async def closed(self) -> None:
        """Send what is queued, and end the stream."""
        if self.session is None:
            return
        self.closing = True
        if self.stream is None:
            self.session.cancel()
        else:
            self.stream.end("planned stop")
        await asyncio.wait([self.session])

    def on_dial_due(self, message: DialDue) -> None:
        """Open a stream in a task of its own, so that messages go on."""
        self.session = asyncio.get_running_loop().create_task(self._serve())

    def on_link_ended(self, message: LinkEnded) -> None:
        """Schedule the next dial."""
        self.stream = None
        self._forward(message)
        self.failures += 1
        limit = min(BACKOFF_LIMIT, BACKOFF_BASE * 2**self.failures)
        log(STREAM_FAILED, peer=self.address, reason=message.reason)
        self.set_timer("dial", self.random.uniform(BACKOFF_BASE, limit), DialDue())

    def on_send_to_entry_link(self, message: SendToEntryLink) -> None:
        """Send a message if the stream is open; the entry asks again otherwise."""
        if self.stream is not None:
            self.stream.post(Outgoing(message=message.message))

    async def _serve(self) -> None:
        host, _, port = self.address.rpartition(":")
        channel = Channel(host, int(port), codec=MessageCodec())
        reason = "closed"
        try:
            reason = await self._attach(channel)
        except TimeoutError:
            reason = "the entry did not welcome the agent in time"
        except (ProtocolError, *FRAME_ERRORS, *STREAM_ERRORS) as error:
            reason = f"{type(error).__name__}: {error}"
        except Exception as error:
            # The link has to dial again after any failure.
            reason = f"{type(error).__name__}: {error}"
            log_failure(
                HANDLER_FAILED, actor=self.name, message_name="dial_due", error=reason
            )
        finally:
            self.stream = None
            channel.close()
        self.post_urgent(LinkEnded(reason=reason))

    async def _attach(self, channel: Channel) -> str:
        method: Any = StreamStreamMethod(
            channel, ATTACH_METHOD, cast(Any, FROM_AGENT), cast(Any, TO_AGENT)
        )
        async with method.open() as stream:
            async with time_limit(self.timers, CONNECT_TIMEOUT):
                await stream.send_message(self.announce())
                limit_frames(stream)
                welcome = await stream.recv_message()
            if not isinstance(welcome, Welcome):
                return "the entry sent no Welcome"
            interval = welcome.heartbeat_interval
            if not INTERVAL_MINIMUM <= interval <= INTERVAL_MAXIMUM:
                return f"the entry asked for heartbeats every {interval:g} s"
            log(STREAM_OPENED, peer=welcome.entry_id)
            opened = self.timers.now()
            self.stream = self._open_stream(stream, interval)
            self.welcomed(FromEntry(entry_id=self.address, message=welcome))
            reason = await self.stream.serve()
            if self.timers.now() - opened >= STABLE_AFTER:
                self.failures = 0
            await self._finish(stream)
            return reason

    def _open_stream(self, stream: Any, interval: float) -> MessageStream:
        return MessageStream(
            self.address,
            self.timers,
            stream,
            receiver=self._forward,
            heartbeat=self.heartbeat,
            interval=interval,
            initiator=True,
        )

    async def _finish(self, stream: Any) -> None:
        if not self.closing:
            await stream.cancel()
            return
        # The entry ends its side after it has read everything; a connection
        # closed earlier may discard the last messages.
        async with time_limit(self.timers, CLOSE_TIMEOUT):
            await stream.end()
            while await stream.recv_message() is not None:
                continue

    def _forward(self, message: Message) -> None:
        self.receiver(FromEntry(entry_id=self.address, message=message))
