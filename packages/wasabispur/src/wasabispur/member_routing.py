"""Route messages from agents and peers to the actors of an entry instance."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from wasabispur_core.bundles.bundle_version import (
    BundleOffered,
    ProcessKind,
    RemoteProcess,
    VersionReported,
)
from wasabispur_core.command import SendToAgent, SendToEntry
from wasabispur_core.jobs.fleet import WorkerLeaving
from wasabispur_core.log_event import AGENT_LEAVING, MESSAGE_UNROUTED
from wasabispur_core.membership.member import (
    FromAgent,
    FromPeer,
    MemberAlive,
    MemberAnnounced,
    MemberLeaving,
)
from wasabispur_core.message import event_name, Message
from wasabispur_core.protocol import (
    Announce,
    BundleInForce,
    Heartbeat,
    HeartbeatAck,
    JobCancelled,
    JobSubmitted,
    Leaving,
    MembersDigest,
    OfferBundle,
    PeerHello,
    TaskFinished,
    TaskInventory,
    TaskRefused,
    TaskReserved,
    TaskStarted,
    TaskStopped,
)
from wasabispur_core.requests.request_message import AgentLeaving
from wasabispur_runtime.decision_actor import execute
from wasabispur_runtime.log import log

from .member_worker import forward_from_agent


@dataclass(frozen=True, slots=True)
class IncomingMessage:
    """Represent a received message, still wrapped with its sender's id."""

    wrapped: FromAgent | FromPeer
    source: RemoteProcess


@singledispatch
def route(content: Message, incoming: IncomingMessage, membership: Any) -> None:
    """Pass a message to the actor that handles its kind."""
    receiver = membership.receivers.get(type(content))
    if receiver is None and isinstance(incoming.wrapped, FromAgent):
        receiver = membership.dispatcher
    if receiver is None:
        name = event_name(content)
        log(MESSAGE_UNROUTED, message_name=name, peer=incoming.source.process_id)
        return
    receiver.post(incoming.wrapped)


@route.register
def _(content: Heartbeat, incoming: IncomingMessage, membership: Any) -> None:
    record_version(content.bundle_version, incoming, membership)
    if isinstance(incoming.wrapped, FromAgent):
        forward_from_agent(incoming.wrapped.agent_id, incoming.wrapped, membership)


@route.register
def _(content: HeartbeatAck, incoming: IncomingMessage, membership: Any) -> None:
    record_version(content.bundle_version, incoming, membership)


@route.register(TaskReserved)
@route.register(TaskRefused)
@route.register(TaskStarted)
@route.register(TaskFinished)
@route.register(TaskStopped)
@route.register(TaskInventory)
def _(content: Message, incoming: IncomingMessage, membership: Any) -> None:
    forward_from_agent(incoming.source.process_id, incoming.wrapped, membership)


@route.register(JobSubmitted)
@route.register(JobCancelled)
def _(
    content: JobSubmitted | JobCancelled, incoming: IncomingMessage, membership: Any
) -> None:
    scheduler = membership.schedulers.get(content.shard)
    if scheduler is not None:
        scheduler.post(content)


@route.register
def _(content: BundleInForce, incoming: IncomingMessage, membership: Any) -> None:
    record_version(content.version, incoming, membership)


@route.register
def _(content: OfferBundle, incoming: IncomingMessage, membership: Any) -> None:
    if membership.bundles is not None:
        offered = BundleOffered(bundle=content.bundle, source=incoming.source)
        membership.bundles.post(offered)


@route.register
def _(content: MembersDigest, incoming: IncomingMessage, membership: Any) -> None:
    # A peer may send a digest only in its own name.
    if content.entry_id == incoming.source.process_id:
        membership.on_message(content)


@route.register(Announce)
@route.register(PeerHello)
def _(
    content: Announce | PeerHello, incoming: IncomingMessage, membership: Any
) -> None:
    """Ignore an Announce or PeerHello that is repeated on an open stream."""


@route.register
def _(content: Leaving, incoming: IncomingMessage, membership: Any) -> None:
    process_id = incoming.source.process_id
    log(AGENT_LEAVING, agent=process_id)
    membership.on_message(MemberLeaving(member_id=process_id))
    forward_from_agent(process_id, WorkerLeaving(worker_id=process_id), membership)
    if incoming.source.kind is ProcessKind.AGENT and membership.dispatcher is not None:
        membership.dispatcher.post_urgent(AgentLeaving(agent_id=process_id))


@execute.register
def _(command: SendToAgent, actor: Any) -> None:
    actor.membership.post(command)


@execute.register
def _(command: SendToEntry, actor: Any) -> None:
    actor.membership.post(command)


def record_version(version: int, incoming: IncomingMessage, membership: Any) -> None:
    """Report that a member is alive, and the bundle version in force there."""
    source = incoming.source
    alive = MemberAlive(member_id=source.process_id, bundle_version=version)
    membership.on_message(alive)
    if membership.bundles is not None:
        membership.bundles.post(VersionReported(source=source, version=version))


def describe_agent(announce: Announce) -> MemberAnnounced:
    """Return the membership's message for an agent's Announce."""
    return MemberAnnounced(
        member_id=announce.agent_id,
        kind=ProcessKind.AGENT.value,
        region=announce.region,
        data_centre=announce.data_centre,
        incarnation=announce.incarnation,
        bundle_version=announce.bundle_version,
    )


def describe_peer(hello: PeerHello) -> MemberAnnounced:
    """Return the membership's message for a peer's PeerHello."""
    return MemberAnnounced(
        member_id=hello.entry_id,
        kind=ProcessKind.ENTRY.value,
        region=hello.region,
        data_centre=hello.data_centre,
        incarnation=hello.incarnation,
        bundle_version=hello.bundle_version,
    )
