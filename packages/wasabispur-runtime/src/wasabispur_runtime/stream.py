"""Own one message stream between two processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from grpclib.exceptions import GRPCError, StreamTerminatedError

from wasabispur_core.error import ProtocolError
from wasabispur_core.log_event import MESSAGE_MALFORMED, STREAM_SILENT
from wasabispur_core.message import Message
from wasabispur_core.protocol import Heartbeat, HeartbeatAck
from wasabispur_core.timer import TimerService

from .actor import Actor, Close
from .log import log

ATTACH_METHOD = "/wasabispur.v1.Control/Attach"
PEER_METHOD = "/wasabispur.v1.Control/Peer"

SILENCE_INTERVALS = 3
"""Heartbeat intervals without any message after which a stream is given up."""

STREAM_ERRORS = (GRPCError, StreamTerminatedError, ConnectionError, OSError)


@dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing(Message):
    """Ask a stream to send a message to the other process."""

    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatDue(Message):
    """Tell a stream to send its next heartbeat."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SilenceDue(Message):
    """Tell a stream to check when the other process was last heard."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReadEnded(Message):
    """Report that nothing more will arrive on the stream."""

    reason: str


class MessageStream(Actor):
    """Own one open stream: send, receive, probe, and detect silence.

    The initiator sends heartbeats, the other side answers them. Everything that
    arrives goes to the receiver. serve() returns when the stream has ended.
    """

    def __init__(
        self,
        peer: str,
        timers: TimerService,
        stream: Any,
        receiver: Callable[[Message], None],
        heartbeat: Callable[[int], Heartbeat],
        interval: float,
        initiator: bool,
    ) -> None:
        super().__init__(f"stream:{peer}", timers)
        self.peer = peer
        self.stream = stream
        self.receiver = receiver
        self.heartbeat = heartbeat
        self.interval = interval
        self.initiator = initiator
        self.sequence = 0
        self.last_received = timers.now()
        self.end_reason = ""

    async def serve(self) -> str:
        """Run until the stream ends and return the reason."""
        reader = asyncio.get_running_loop().create_task(self._read())
        try:
            self.task = asyncio.current_task()
            await self.run()
        finally:
            reader.cancel()
        return self.end_reason

    async def opened(self) -> None:
        """Start to probe."""
        self.set_timer("silence", self.silence_limit, SilenceDue())
        if self.initiator:
            self.set_timer("heartbeat", self.interval, HeartbeatDue())

    @property
    def silence_limit(self) -> float:
        """Return the seconds without a message after which the stream is dead."""
        return self.interval * SILENCE_INTERVALS

    def end(self, reason: str) -> None:
        """Stop the stream after the message in hand."""
        self.end_reason = self.end_reason or reason
        self.post(Close())

    async def on_outgoing(self, message: Outgoing) -> None:
        """Send one message."""
        await self._send(message.message)

    async def on_heartbeat_due(self, message: HeartbeatDue) -> None:
        """Send a heartbeat and schedule the next one."""
        self.sequence += 1
        await self._send(self.heartbeat(self.sequence))
        self.set_timer("heartbeat", self.interval, HeartbeatDue())

    def on_silence_due(self, message: SilenceDue) -> None:
        """End the stream if nothing arrived for too long."""
        quiet = self.timers.now() - self.last_received
        if quiet >= self.silence_limit:
            log(STREAM_SILENT, peer=self.peer)
            self.end("silent")
            return
        self.set_timer("silence", self.silence_limit - quiet, SilenceDue())

    async def on_heartbeat(self, message: Heartbeat) -> None:
        """Answer a heartbeat, and pass it on for the figures it carries."""
        self.receiver(message)
        own = self.heartbeat(message.sequence)
        await self._send(
            HeartbeatAck(sequence=own.sequence, bundle_version=own.bundle_version)
        )

    def on_heartbeat_ack(self, message: HeartbeatAck) -> None:
        """Pass the acknowledgement on for the bundle version that it carries."""
        self.receiver(message)

    def on_message(self, message: Message) -> None:
        """Pass a received message on."""
        self.receiver(message)

    def on__read_ended(self, message: _ReadEnded) -> None:
        """End the stream when nothing more can arrive."""
        self.end(message.reason)

    async def _send(self, message: Message) -> None:
        try:
            # A silent link fills the flow-control window; without the timeout the
            # actor would block here and never check for silence.
            async with asyncio.timeout(self.silence_limit):
                await self.stream.send_message(message)
        except TimeoutError:
            self.end("silent")
        except STREAM_ERRORS as error:
            self.end(_describe(error))

    async def _read(self) -> None:
        reason = "closed by the other side"
        try:
            while (message := await self.stream.recv_message()) is not None:
                self.last_received = self.timers.now()
                self.post(message)
        except ProtocolError as error:
            log(MESSAGE_MALFORMED, peer=self.peer, error=str(error))
            reason = str(error)
        except STREAM_ERRORS as error:
            reason = _describe(error)
        self.post(_ReadEnded(reason=reason))


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
