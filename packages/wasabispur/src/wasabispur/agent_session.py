"""Serve the stream of one agent that is attached to an entry instance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wasabispur_core.membership.heartbeat_policy import (
    heartbeat_interval,
    HeartbeatIntervals,
)
from wasabispur_core.membership.member import FromAgent
from wasabispur_core.message import Message
from wasabispur_core.protocol import Announce, Leaving, Welcome
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.stream import abort_connection

from .handshake import receive_handshake
from .member_session import MemberSession


class AgentSession(MemberSession):
    """Serve the stream of one agent.

    Received messages go to the membership, wrapped with the agent's id. superseded
    is true once a newer stream of the same agent has replaced this one.
    """

    def __init__(
        self,
        announce: Announce,
        timers: TimerService,
        stream: Any,
        membership: Actor,
        interval: float,
        bundle_version: Callable[[], int],
    ) -> None:
        self.announce = announce
        self.superseded = False
        super().__init__(
            announce.agent_id,
            timers,
            stream,
            membership,
            interval,
            bundle_version,
            initiator=False,
        )

    def forward(self, message: Message) -> None:
        """Send a received message to the membership with the agent's id."""
        # A late Leaving on a superseded stream must not detach the process that has
        # attached with the same id on a newer stream.
        if self.superseded and isinstance(message, Leaving):
            return
        self.membership.post(
            FromAgent(agent_id=self.announce.agent_id, message=message)
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionOpened(Message):
    """Report that an agent announced itself on a new stream."""

    announce: Announce
    session: AgentSession


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionEnded(Message):
    """Report that a session's stream ended."""

    session: AgentSession
    reason: str


async def serve_agent(
    stream: Any,
    entry_id: str,
    intervals: HeartbeatIntervals,
    timers: TimerService,
    membership: Actor,
    bundle_version: Callable[[], int],
) -> None:
    """Serve one Attach stream until it ends.

    Aborts the connection if the stream doesn't start with a valid Announce in time.
    """
    announce = await receive_handshake(stream, timers, Announce)
    if announce is None:
        abort_connection(stream)
        return
    interval = heartbeat_interval(announce, intervals)
    session = AgentSession(
        announce, timers, stream, membership, interval, bundle_version
    )
    await stream.send_message(Welcome(entry_id=entry_id, heartbeat_interval=interval))
    membership.post_urgent(SessionOpened(announce=announce, session=session))
    reason = "cancelled"
    try:
        reason = await session.serve()
    finally:
        membership.post_urgent(SessionEnded(session=session, reason=reason))
