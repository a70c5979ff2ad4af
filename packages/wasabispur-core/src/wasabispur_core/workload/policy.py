"""Hold what the operators' configuration says about queues and organisations."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import sha256

from ..message import Message

KEY_DIGEST_BYTES = 16
"""Bytes of the digest under which an organisation's key is kept."""


def key_digest(key: str) -> str:
    """Return the digest that stands for a key, so that no process keeps the key."""
    return sha256(key.encode()).hexdigest()[: 2 * KEY_DIGEST_BYTES]


@dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Describe one queue; times are in seconds, and priority 0 goes first."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target: float = 0.0
    anonymous: bool = False
    needs_advice: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Describe an organisation and its guaranteed number of accelerators."""

    name: str
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPolicy:
    """Hold one version of the configuration; keys maps digests to organisations."""

    version: int = 0
    queues: dict[str, Queue] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path on the host."""
        matches = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyChanged(Message):
    """Deliver a version of the configuration."""

    policy: FleetPolicy
