"""Send and receive messages on a stream between two processes."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from grpclib.exceptions import GRPCError, StreamTerminatedError
from h2.exceptions import H2Error

from wasabispur_core.error import MailboxFullError, ProtocolError
from wasabispur_core.log_event import MESSAGE_MALFORMED, STREAM_SILENT
from wasabispur_core.message import Message
from wasabispur_core.metric import STREAM_LOSSES
from wasabispur_core.protocol import FRAME_LIMIT_BYTES, Heartbeat, HeartbeatAck
from wasabispur_core.timer import TimerService

from .actor import Actor, Close
from .log import log
from .metrics import registry
from .timer_service import time_limit

ATTACH_METHOD = "/wasabispur.v1.Control/Attach"
PEER_METHOD = "/wasabispur.v1.Control/Peer"

SILENCE_INTERVALS = 3
"""Heartbeat intervals without a message after which a stream is ended."""

HEARTBEAT_INTERVAL_MINIMUM = 0.01
HEARTBEAT_INTERVAL_MAXIMUM = 60.0
"""Bounds in seconds of the heartbeat interval.

An interval of zero would keep the event loop busy.
"""

RECEIVE_BACKLOG_LIMIT = 64
"""Received messages that may wait; beyond it, flow control stops the sender."""

OUTGOING_LIMIT = 4_096
"""Messages that may wait in one stream's mailbox."""

STREAM_ERRORS = (GRPCError, StreamTerminatedError, ConnectionError, OSError, H2Error)

FRAME_ERRORS = (AssertionError, NotImplementedError, struct.error)
"""Exceptions that grpclib raises for a truncated or a compressed frame."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing(Message):
    """Request that a stream sends a message to the other process."""

    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatDue(Message):
    """Request the next heartbeat of a stream."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SilenceDue(Message):
    """Request a check of how long ago a stream received its last message."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Received(Message):
    """Report a message that arrived from the other process."""

    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReadEnded(Message):
    """Report that no more messages will arrive on the stream."""

    reason: str


class MessageStream(Actor):
    """Send and receive messages on one open stream, and detect a silent peer.

    The initiator sends heartbeats and the other side acknowledges them. Received
    messages are passed to the receiver. serve() returns when the stream has ended.
    """

    mailbox_limit = OUTGOING_LIMIT

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
        enforce_frame_limit(stream)
        self.end_reason = ""
        self.broken = False
        self.cause = "closed"
        self.backlog = asyncio.Semaphore(RECEIVE_BACKLOG_LIMIT)

    async def serve(self) -> str:
        """Run until the stream ends and return the reason.

        The connection of a broken stream is aborted. Each connection carries one
        stream, and a silent peer would otherwise keep the socket open forever.
        """
        reader = asyncio.get_running_loop().create_task(self._read())
        try:
            self.task = asyncio.current_task()
            await self.run()
        except asyncio.CancelledError:
            # grpclib cancels the handler of a stream whose connection is lost.
            self.cause = "lost"
            raise
        finally:
            reader.cancel()
            registry.count(STREAM_LOSSES, cause=self.cause)
            self._deliver_received()
            if self.broken:
                abort_connection(self.stream)
        return self.end_reason

    async def opened(self) -> None:
        """Schedule the check for silence and, on the initiator, the heartbeats."""
        self.set_timer("silence", self.silence_limit, SilenceDue())
        if self.initiator:
            self.set_timer("heartbeat", self.interval, HeartbeatDue())

    @property
    def silence_limit(self) -> float:
        """Return the seconds without a message after which the stream is ended."""
        return self.interval * SILENCE_INTERVALS

    def end(self, reason: str) -> None:
        """Stop the stream after the queued messages; the first reason is kept."""
        self.end_reason = self.end_reason or reason
        self.post_urgent(Close())

    async def on_outgoing(self, message: Outgoing) -> None:
        """Send one message."""
        await self._send(message.message)

    async def on_heartbeat_due(self, message: HeartbeatDue) -> None:
        """Send a heartbeat and schedule the next one."""
        self.sequence += 1
        await self._send(self.heartbeat(self.sequence))
        self.set_timer("heartbeat", self.interval, HeartbeatDue())

    def on_silence_due(self, message: SilenceDue) -> None:
        """End the stream if no message arrived within the silence limit."""
        elapsed = self.timers.now() - self.last_received
        if elapsed >= self.silence_limit:
            self._end_silent()
            return
        self.set_timer("silence", self.silence_limit - elapsed, SilenceDue())

    async def on__received(self, message: _Received) -> None:
        """Handle a received message and release its place in the backlog."""
        try:
            await self.handle(message.message)
        finally:
            self.backlog.release()

    async def on_heartbeat(self, message: Heartbeat) -> None:
        """Acknowledge a heartbeat, and pass it on for the figures in it.

        The acknowledgement is sent first, so that a receiver with a full mailbox
        does not make this side look silent.
        """
        own = self.heartbeat(message.sequence)
        await self._send(
            HeartbeatAck(sequence=own.sequence, bundle_version=own.bundle_version)
        )
        self.receiver(message)

    def on_heartbeat_ack(self, message: HeartbeatAck) -> None:
        """Pass the acknowledgement on for the bundle version in it."""
        self.receiver(message)

    def on_message(self, message: Message) -> None:
        """Pass a received message to the receiver."""
        self.receiver(message)

    def on__read_ended(self, message: _ReadEnded) -> None:
        """End the stream when no more messages can arrive."""
        self.end(message.reason)

    async def _send(self, message: Message) -> None:
        if self.broken:
            return
        try:
            # A peer that stops reading fills the flow-control window. Without the
            # limit the actor would block here and never check for silence.
            async with time_limit(self.timers, self.silence_limit):
                await self.stream.send_message(message)
        except TimeoutError:
            self._end_silent()
        except STREAM_ERRORS as error:
            self.broken = True
            self.cause = "lost"
            self.end(_describe(error))

    async def _read(self) -> None:
        reason = "closed by the other side"
        try:
            while (message := await self.stream.recv_message()) is not None:
                self.last_received = self.timers.now()
                await self.backlog.acquire()
                self.post_urgent(_Received(message=message))
        except ProtocolError as error:
            reason = self._malformed(str(error))
        except FRAME_ERRORS as error:
            reason = self._malformed(_describe(error))
        except STREAM_ERRORS as error:
            self.cause = "lost"
            reason = _describe(error)
        self.post_urgent(_ReadEnded(reason=reason))

    def _malformed(self, reason: str) -> str:
        log(MESSAGE_MALFORMED, peer=self.peer, error=reason)
        self.broken = True
        self.cause = "malformed"
        return reason

    def _end_silent(self) -> None:
        if not self.broken:
            log(STREAM_SILENT, peer=self.peer)
            self.cause = "silent"
        self.broken = True
        self.end("silent")

    def _deliver_received(self) -> None:
        # A response that arrived before the stream broke is still valid.
        while not self.mailbox.empty():
            message = self.mailbox.get_nowait()
            if isinstance(message, _Received) and not isinstance(
                message.message, (Heartbeat, HeartbeatAck)
            ):
                with suppress(MailboxFullError):
                    self.receiver(message.message)


def enforce_frame_limit(stream: Any, limit: int = FRAME_LIMIT_BYTES) -> None:
    """Make the stream reject a frame over the limit before reading it.

    A later call replaces the limit. grpclib buffers a frame of any announced length,
    up to 4 GiB, in memory.
    """
    transport = stream._stream
    transport.frame_limit = limit
    if "recv_data" in vars(transport):
        return
    receive = transport.recv_data

    async def receive_limited(size: int) -> bytes:
        if size > transport.frame_limit:
            raise ProtocolError(
                f"the peer announced a frame of {size} bytes, over the limit of "
                f"{transport.frame_limit}",
                "send a smaller body",
            )
        data: bytes = await receive(size)
        return data

    transport.recv_data = receive_limited


def abort_connection(stream: Any) -> None:
    """Abort the connection of a stream without waiting for unsent data."""
    transport = getattr(stream._stream, "_transport", None)
    if transport is not None:
        transport.abort()


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
