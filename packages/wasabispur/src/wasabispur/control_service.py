"""Serve the control streams of agents and peer entries."""

from __future__ import annotations

from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError

from wasabispur_core.log_event import SESSIONS_FULL
from wasabispur_core.timer import TimerService
from wasabispur_runtime.codec import FROM_AGENT, TO_AGENT
from wasabispur_runtime.log import log
from wasabispur_runtime.stream import ATTACH_METHOD

from .agent_session import serve_agent
from .entry_settings import EntrySettings
from .membership import Membership


class ControlService:
    """Map the methods of wasabispur.v1.Control to their handlers."""

    def __init__(
        self, settings: EntrySettings, timers: TimerService, membership: Membership
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.membership = membership
        self.sessions = 0

    async def attach(self, stream: Any) -> None:
        """Serve the stream of one agent; refuse it over the limit."""
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
                self.timers,
                self.membership,
            )
        finally:
            self.sessions -= 1

    def __mapping__(self) -> dict[str, Handler]:
        """Return grpclib's handlers by method path."""
        return {
            ATTACH_METHOD: Handler(
                self.attach, Cardinality.STREAM_STREAM, FROM_AGENT, TO_AGENT
            ),
        }
