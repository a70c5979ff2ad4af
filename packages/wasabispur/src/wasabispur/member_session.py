"""Serve the stream of one member, which is an agent or another entry instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wasabispur_core.message import Message
from wasabispur_core.protocol import Heartbeat
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.stream import MessageStream


class MemberSession(MessageStream):
    """Exchange heartbeats with one member and pass its messages to the membership.

    interval is the seconds between heartbeats. Each heartbeat has the version of the
    bundle that is in force here.
    """

    def __init__(
        self,
        member_id: str,
        timers: TimerService,
        stream: Any,
        membership: Actor,
        interval: float,
        bundle_version: Callable[[], int],
        initiator: bool,
    ) -> None:
        self.membership = membership
        super().__init__(
            member_id,
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
        """Send a received message to the membership with the member's id."""
        raise NotImplementedError
