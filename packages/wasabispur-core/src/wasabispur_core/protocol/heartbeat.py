"""Define the messages that probe a stream in both directions."""

from __future__ import annotations

from dataclasses import dataclass

from ..message import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Message):
    """Probe the stream; the receiver acknowledges with the same sequence.

    clock is in seconds of the sender's clock. A receiver may send it back, but
    can't compare it with its own clock.
    """

    sequence: int
    bundle_version: int
    in_flight: int = 0
    free_slots: int = 0
    clock: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAck(Message):
    """Acknowledge a heartbeat."""

    sequence: int
    bundle_version: int
