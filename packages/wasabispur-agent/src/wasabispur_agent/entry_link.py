"""Connect an agent to one entry instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, cast

from grpclib.client import Channel, StreamStreamMethod

from wasabispur_core.log_event import STREAM_OPENED
from wasabispur_core.message import Message
from wasabispur_core.protocol import Announce, Heartbeat, Welcome
from wasabispur_core.requests.permit import FromEntry, SendToEntryLink
from wasabispur_core.timer import TimerService
from wasabispur_runtime.codec import FROM_AGENT, TO_AGENT
from wasabispur_runtime.link import Link, LinkEnded, WELCOME_TIMEOUT
from wasabispur_runtime.log import log
from wasabispur_runtime.stream import (
    ATTACH_METHOD,
    enforce_frame_limit,
    HEARTBEAT_INTERVAL_MAXIMUM,
    HEARTBEAT_INTERVAL_MINIMUM,
    MessageStream,
    Outgoing,
)
from wasabispur_runtime.timer_service import time_limit

BACKOFF_RESET_DELAY = 5.0
"""Seconds after which a stream counts as stable and the backoff is reset."""

CLOSE_TIMEOUT = 3.0
"""Seconds that a planned stop waits for the entry to read the last messages."""


class EntryLink(Link):
    """Keep a stream to one entry open."""

    def __init__(
        self,
        address: str,
        timers: TimerService,
        announce: Callable[[], Announce],
        heartbeat: Callable[[int], Heartbeat],
        receiver: Callable[[FromEntry], None],
        random: Random,
        welcome_receiver: Callable[[FromEntry], None] = lambda message: None,
    ) -> None:
        super().__init__(f"link:{address}", address, address, timers, random)
        self.announce = announce
        self.heartbeat = heartbeat
        self.receiver = receiver
        self.welcome_receiver = welcome_receiver
        self.closing = False
        self.stream: MessageStream | None = None

    async def closed(self) -> None:
        """Send the queued messages, and end the stream."""
        if self.session is None:
            return
        self.closing = True
        if self.stream is None:
            self.session.cancel()
        else:
            self.stream.end("planned stop")
        await asyncio.wait([self.session])

    def on_link_ended(self, message: LinkEnded) -> None:
        """Notify the receiver, and schedule the next connection attempt."""
        self._forward(message)
        super().on_link_ended(message)

    def on_send_to_entry_link(self, message: SendToEntryLink) -> None:
        """Send a message, or drop it if no stream is open; the entry asks again."""
        if self.stream is not None:
            self.stream.post(Outgoing(message=message.message))

    async def connect(self, channel: Channel) -> str:
        """Attach to the entry, serve the stream and return why it ended."""
        try:
            return await self._attach(channel)
        finally:
            self.stream = None

    async def _attach(self, channel: Channel) -> str:
        method: Any = StreamStreamMethod(
            channel, ATTACH_METHOD, cast(Any, FROM_AGENT), cast(Any, TO_AGENT)
        )
        async with method.open() as stream:
            async with time_limit(self.timers, WELCOME_TIMEOUT):
                await stream.send_message(self.announce())
                enforce_frame_limit(stream)
                welcome = await stream.recv_message()
            if not isinstance(welcome, Welcome):
                return "the entry sent no Welcome"
            interval = welcome.heartbeat_interval
            if not HEARTBEAT_INTERVAL_MINIMUM <= interval <= HEARTBEAT_INTERVAL_MAXIMUM:
                return f"the entry asked for heartbeats every {interval:g} s"
            log(STREAM_OPENED, peer=welcome.entry_id)
            opened = self.timers.now()
            self.stream = self._open_stream(stream, interval)
            self.welcome_receiver(FromEntry(entry_id=self.address, message=welcome))
            reason = await self.stream.serve()
            if self.timers.now() - opened >= BACKOFF_RESET_DELAY:
                self.failures = 0
            await self._end_stream(stream)
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

    async def _end_stream(self, stream: Any) -> None:
        if not self.closing:
            await stream.cancel()
            return
        # The entry ends its side after it has read all messages. If the connection
        # were closed earlier, the last messages could be discarded.
        async with time_limit(self.timers, CLOSE_TIMEOUT):
            await stream.end()
            while await stream.recv_message() is not None:
                continue

    def _forward(self, message: Message) -> None:
        self.receiver(FromEntry(entry_id=self.address, message=message))
