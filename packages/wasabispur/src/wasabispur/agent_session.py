"""Own the stream of one attached agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wasabispur_core.attachment import heartbeat_interval, HeartbeatIntervals
from wasabispur_core.error import ProtocolError
from wasabispur_core.log_event import MESSAGE_MALFORMED
from wasabispur_core.member import FromAgent
from wasabispur_core.message import Message
from wasabispur_core.protocol import Announce, Heartbeat, Leaving, Welcome
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.log import log
from wasabispur_runtime.stream import (
    abort_connection,
    FRAME_ERRORS,
    limit_frames,
    MessageStream,
    STREAM_ERRORS,
)
from wasabispur_runtime.timer_service import time_limit

ANNOUNCE_TIMEOUT = 5.0
"""Seconds within which a new stream has to announce its agent."""


class AgentSession(MessageStream):
    """Own one agent's stream and wrap what arrives with the agent's id."""

    def __init__(
        self,
        announce: Announce,
        timers: TimerService,
        stream: Any,
        membership: Actor,
        interval: float,
    ) -> None:
        self.announce = announce
        self.membership = membership
        self.superseded = False
        super().__init__(
            announce.agent_id,
            timers,
            stream,
            receiver=self.forward,
            heartbeat=lambda sequence: Heartbeat(sequence=sequence, bundle_version=0),
            interval=interval,
            initiator=False,
        )

    def forward(self, message: Message) -> None:
        """Pass a message on with the agent's id."""
        # A departure that arrives on an old stream must not detach the process
        # that has taken over the id on a newer one.
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
) -> None:
    """Serve one Attach stream until it ends."""
    announce = await receive_announce(stream, timers)
    if announce is None:
        abort_connection(stream)
        return
    interval = heartbeat_interval(announce, intervals)
    session = AgentSession(announce, timers, stream, membership, interval)
    await stream.send_message(Welcome(entry_id=entry_id, heartbeat_interval=interval))
    membership.post_urgent(SessionOpened(announce=announce, session=session))
    reason = "cancelled"
    try:
        reason = await session.serve()
    finally:
        membership.post_urgent(SessionEnded(session=session, reason=reason))


async def receive_announce(stream: Any, timers: TimerService) -> Announce | None:
    """Return the first message if it is an announcement that came in time."""
    try:
        limit_frames(stream)
        async with time_limit(timers, ANNOUNCE_TIMEOUT):
            first = await stream.recv_message()
    except TimeoutError:
        log(MESSAGE_MALFORMED, peer="new agent", error="no Announce came in time")
        return None
    except (ProtocolError, *FRAME_ERRORS, *STREAM_ERRORS) as error:
        log(MESSAGE_MALFORMED, peer="new agent", error=str(error))
        return None
    if not isinstance(first, Announce):
        log(MESSAGE_MALFORMED, peer="new agent", error="no Announce came first")
        return None
    return first
