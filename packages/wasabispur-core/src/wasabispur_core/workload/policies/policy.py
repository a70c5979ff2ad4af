"""Define the operators' configuration of queues and organisations.

Entry instances use it to accept jobs, and the owner of the shard uses it to order them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import sha256

from ...message import Message
from ..jobs.spec import QueueTerms

KEY_DIGEST_BYTES = 16
"""Length in bytes of the digest that identifies an organisation's API key."""


def key_digest(key: str) -> str:
    """Return the digest of an API key, so that processes need not keep the key."""
    return sha256(key.encode()).hexdigest()[: 2 * KEY_DIGEST_BYTES]


@dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Describe one queue, selected by host and path prefix.

    service, priority, max_attempts, stretch and target are as in QueueTerms. Anonymous
    queues accept calls without an API key. Submissions to a queue with needs_advice are
    refused, because advice is not supported.
    """

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

    @property
    def terms(self) -> QueueTerms:
        """Return what the queue grants to its jobs."""
        return QueueTerms(
            service=self.service,
            priority=self.priority,
            max_attempts=self.max_attempts,
            stretch=self.stretch,
            target=self.target,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Describe an organisation and its guaranteed number of accelerators.

    weight is that of its fair share relative to those of the others.
    """

    name: str
    guaranteed_accelerators: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Describe a service; workers answer health checks at health_path, if it is set."""

    name: str
    health_path: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPolicy:
    """Describe one version of the configuration.

    keys maps the digests of API keys to the names of organisations.
    """

    version: int = 0
    queues: dict[str, Queue] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)

    def guaranteed_accelerators(self, organisation: str) -> int:
        """Return the number of accelerators that an organisation is guaranteed."""
        known = self.organisations.get(organisation)
        return known.guaranteed_accelerators if known else 0

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path on the host."""
        matches = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyHealth(Message):
    """Report whether the latest configuration is known to be the one in force."""

    confirmed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyChanged(Message):
    """Deliver a version of the configuration."""

    policy: FleetPolicy
