"""Serve the gRPC control streams of agents and peers at an entry instance."""

from __future__ import annotations

from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError

from wasabispur_core.log_event import SESSIONS_FULL
from wasabispur_runtime.codec import BETWEEN_ENTRIES, FROM_AGENT, TO_AGENT
from wasabispur_runtime.log import log
from wasabispur_runtime.stream import ATTACH_METHOD, PEER_METHOD

from .agent_session import serve_agent
from .entry_settings import EntrySettings
from .peer_session import PeerContext, serve_peer


class ControlService:
    """Handle the methods of the gRPC service wasabispur.v1.Control."""

    def __init__(self, settings: EntrySettings, context: PeerContext) -> None:
        self.settings = settings
        self.context = context
        self.sessions = 0

    async def attach(self, stream: Any) -> None:
        """Serve the stream of one agent; reject it at the session limit."""
        limit = self.settings.session_limit
        if self.sessions >= limit:
            log(SESSIONS_FULL, limit=limit)
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"{limit} agents are attached")
        self.sessions += 1
        try:
            await serve_agent(
                stream,
                self.settings.entry_id,
                self.settings.intervals,
                self.context.timers,
                self.context.membership,
                self.context.bundle_version,
            )
        finally:
            self.sessions -= 1

    async def peer(self, stream: Any) -> None:
        """Serve the stream of one peer entry."""
        await serve_peer(stream, self.context)

    def __mapping__(self) -> dict[str, Handler]:
        """Return grpclib's handlers by method path."""
        return {
            ATTACH_METHOD: Handler(
                self.attach, Cardinality.STREAM_STREAM, FROM_AGENT, TO_AGENT
            ),
            PEER_METHOD: Handler(
                self.peer, Cardinality.STREAM_STREAM, BETWEEN_ENTRIES, BETWEEN_ENTRIES
            ),
        }
