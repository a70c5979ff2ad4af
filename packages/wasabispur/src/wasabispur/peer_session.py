"""Own one open stream between two entries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wasabispur_core.member import FromPeer
from wasabispur_core.message import Message
from wasabispur_core.protocol import Heartbeat, PeerHello
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.stream import (
    abort_connection,
    MessageStream,
)

from .handshake import receive_handshake


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerOpened(Message):
    """Report that a stream to a peer opened."""

    hello: PeerHello
    session: PeerSession


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEnded(Message):
    """Report that a stream to a peer ended."""

    session: PeerSession
    reason: str


class PeerSession(MessageStream):
    """Own the stream to one peer and wrap what arrives with the peer's id."""

    def __init__(
        self,
        hello: PeerHello,
        timers: TimerService,
        stream: Any,
        membership: Actor,
        interval: float,
        bundle_version: Callable[[], int],
        initiator: bool,
    ) -> None:
        self.hello = hello
        self.membership = membership
        super().__init__(
            hello.entry_id,
            timers,
            stream,
            receiver=self.forward,
            heartbeat=lambda sequence: Heartbeat(
                sequence=sequence, bundle_version=bundle_version()
            ),
            interval=interval,
            initiator=initiator,
        )

    def forward(self, message: Message) -> None:
        """Pass a message on with the peer's id."""
        self.membership.post(FromPeer(entry_id=self.hello.entry_id, message=message))

    async def serve_and_report(self) -> str:
        """Serve the stream, tell the membership, and return why it ended."""
        self.membership.post_urgent(PeerOpened(hello=self.hello, session=self))
        reason = "cancelled"
        try:
            reason = await self.serve()
        finally:
            self.membership.post_urgent(PeerEnded(session=self, reason=reason))
        return reason


@dataclass(slots=True, kw_only=True)
class PeerContext:
    """Hold what every peer stream of an entry needs; interval is in seconds."""

    hello: Callable[[], PeerHello]
    timers: TimerService
    membership: Actor
    interval: float
    bundle_version: Callable[[], int]

    def session(self, hello: PeerHello, stream: Any, initiator: bool) -> PeerSession:
        """Return the session of a peer that introduced itself."""
        return PeerSession(
            hello,
            self.timers,
            stream,
            self.membership,
            self.interval,
            self.bundle_version,
            initiator,
        )


async def serve_peer(stream: Any, context: PeerContext) -> None:
    """Serve one Peer stream that another entry opened until it ends."""
    hello = await receive_handshake(stream, context.timers, PeerHello)
    if hello is None:
        abort_connection(stream)
        return
    await stream.send_message(context.hello())
    await context.session(hello, stream, initiator=False).serve_and_report()
