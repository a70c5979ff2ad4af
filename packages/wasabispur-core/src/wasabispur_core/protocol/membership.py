"""Define the messages with which agents and entries join and leave."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..message import Message
from .reason import Role


@dataclass(frozen=True, slots=True, kw_only=True)
class Announce(Message):
    """Register an agent with an entry; the first message on its stream.

    incarnation increases with each start of the agent, memory is in bytes, and
    clock is in seconds of the agent's clock. near is set for the few entries to
    which the agent sends frequent heartbeats.
    """

    agent_id: str
    incarnation: int
    role: Role
    region: str
    data_centre: str
    rack: str
    service: str = ""
    slots: int = 0
    accelerators: int = 0
    cores: int = 0
    memory: int = 0
    bundle_version: int = 0
    near: bool = True
    clock: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome(Message):
    """Accept an announced agent; heartbeat_interval is in seconds."""

    entry_id: str
    heartbeat_interval: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Message):
    """Announce a planned stop of the sender, which accepts no new work."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerHello(Message):
    """Identify an entry; the first message in both directions of a peer stream."""

    entry_id: str
    incarnation: int
    region: str
    data_centre: str
    bundle_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """Describe one process and the bundle version in force in it."""

    member_id: str
    kind: str
    region: str
    data_centre: str
    state: str
    bundle_version: int
    entry_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MembersDigest(Message):
    """List the members that have a stream to the sending entry.

    epoch increases with each digest of the entry, also across its restarts.
    """

    entry_id: str
    epoch: int = 0
    members: tuple[MemberStatus, ...] = field(default=())
