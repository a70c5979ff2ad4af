"""Serve one stream between two entry instances."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wasabispur_core.membership.member import FromPeer
from wasabispur_core.message import Message
from wasabispur_core.protocol import PeerHello
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.stream import abort_connection

from .handshake import receive_handshake
from .member_session import MemberSession


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


class PeerSession(MemberSession):
    """Serve the stream to one peer.

    Received messages go to the membership, wrapped with the peer's id.
    """

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
        super().__init__(
            hello.entry_id,
            timers,
            stream,
            membership,
            interval,
            bundle_version,
            initiator,
        )

    def forward(self, message: Message) -> None:
        """Send a received message to the membership with the peer's id."""
        self.membership.post(FromPeer(entry_id=self.hello.entry_id, message=message))

    async def serve_and_report(self) -> str:
        """Serve the stream and return why it ended.

        Reports the start and the end of the stream to the membership.
        """
        self.membership.post_urgent(PeerOpened(hello=self.hello, session=self))
        reason = "cancelled"
        try:
            reason = await self.serve()
        finally:
            self.membership.post_urgent(PeerEnded(session=self, reason=reason))
        return reason


@dataclass(slots=True, kw_only=True)
class PeerContext:
    """Describe what the streams of an entry share.

    hello returns the entry's PeerHello, and bundle_version the version in force.
    interval is the seconds between heartbeats on a stream between entries.
    """

    hello: Callable[[], PeerHello]
    timers: TimerService
    membership: Actor
    interval: float
    bundle_version: Callable[[], int]

    def session(self, hello: PeerHello, stream: Any, initiator: bool) -> PeerSession:
        """Return a session for a peer that sent its PeerHello."""
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
    """Serve one Peer stream that another entry opened until it ends.

    Aborts the connection if the stream doesn't start with a valid PeerHello in time.
    """
    hello = await receive_handshake(stream, context.timers, PeerHello)
    if hello is None:
        abort_connection(stream)
        return
    await stream.send_message(context.hello())
    await context.session(hello, stream, initiator=False).serve_and_report()
