"""Route what arrives from agents and peers to the actors that handle it."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from wasabispur_core.bundle_version import (
    BundleOffered,
    ProcessKind,
    RemoteProcess,
    VersionReported,
)
from wasabispur_core.command import SendToAgent, SendToEntry
from wasabispur_core.fleet import WorkerLeaving
from wasabispur_core.log_event import AGENT_LEAVING, MESSAGE_UNROUTED
from wasabispur_core.member import (
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
from wasabispur_core.request_message import AgentLeaving
from wasabispur_runtime.decision_actor import execute
from wasabispur_runtime.log import log

from .member_worker import report_from_worker


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold a message as it was wrapped on arrival, and who sent it."""

    wrapped: FromAgent | FromPeer
    source: RemoteProcess


@singledispatch
def route(content: Message, arrival: Arrival, membership: Any) -> None:
    """Pass a message to the actor that handles its kind."""
    receiver = membership.receivers.get(type(content))
    if receiver is None and isinstance(arrival.wrapped, FromAgent):
        receiver = membership.dispatcher
    if receiver is None:
        name = event_name(content)
        log(MESSAGE_UNROUTED, message_name=name, peer=arrival.source.process_id)
        return
    receiver.post(arrival.wrapped)


@route.register
def _(content: Heartbeat, arrival: Arrival, membership: Any) -> None:
    note_version(content.bundle_version, arrival, membership)
    if isinstance(arrival.wrapped, FromAgent):
        report_from_worker(arrival.wrapped.agent_id, arrival.wrapped, membership)


@route.register
def _(content: HeartbeatAck, arrival: Arrival, membership: Any) -> None:
    note_version(content.bundle_version, arrival, membership)


@route.register(TaskReserved)
@route.register(TaskRefused)
@route.register(TaskStarted)
@route.register(TaskFinished)
@route.register(TaskStopped)
@route.register(TaskInventory)
def _(content: Message, arrival: Arrival, membership: Any) -> None:
    report_from_worker(arrival.source.process_id, arrival.wrapped, membership)


@route.register(JobSubmitted)
@route.register(JobCancelled)
def _(content: JobSubmitted | JobCancelled, arrival: Arrival, membership: Any) -> None:
    scheduler = membership.schedulers.get(content.shard)
    if scheduler is not None:
        scheduler.post(content)


@route.register
def _(content: BundleInForce, arrival: Arrival, membership: Any) -> None:
    note_version(content.version, arrival, membership)


@route.register
def _(content: OfferBundle, arrival: Arrival, membership: Any) -> None:
    if membership.bundles is not None:
        offered = BundleOffered(bundle=content.bundle, source=arrival.source)
        membership.bundles.post(offered)


@route.register
def _(content: MembersDigest, arrival: Arrival, membership: Any) -> None:
    # A peer speaks for itself only.
    if content.entry_id == arrival.source.process_id:
        membership.on_message(content)


@route.register(Announce)
@route.register(PeerHello)
def _(content: Announce | PeerHello, arrival: Arrival, membership: Any) -> None:
    """Drop an introduction that is repeated on an open stream."""


@route.register
def _(content: Leaving, arrival: Arrival, membership: Any) -> None:
    process_id = arrival.source.process_id
    log(AGENT_LEAVING, agent=process_id)
    membership.on_message(MemberLeaving(member_id=process_id))
    report_from_worker(process_id, WorkerLeaving(worker_id=process_id), membership)
    if arrival.source.kind is ProcessKind.AGENT and membership.dispatcher is not None:
        membership.dispatcher.post_urgent(AgentLeaving(agent_id=process_id))


@execute.register
def _(command: SendToAgent, actor: Any) -> None:
    actor.membership.post(command)


@execute.register
def _(command: SendToEntry, actor: Any) -> None:
    actor.membership.post(command)


def note_version(version: int, arrival: Arrival, membership: Any) -> None:
    """Pass on the version in force at a member, and that it lives."""
    source = arrival.source
    heard = MemberAlive(member_id=source.process_id, bundle_version=version)
    membership.on_message(heard)
    if membership.bundles is not None:
        membership.bundles.post(VersionReported(source=source, version=version))


def describe_agent(announce: Announce) -> MemberAnnounced:
    """Return an agent's announcement for the member component."""
    return MemberAnnounced(
        member_id=announce.agent_id,
        kind=ProcessKind.AGENT.value,
        region=announce.region,
        data_centre=announce.data_centre,
        incarnation=announce.incarnation,
        bundle_version=announce.bundle_version,
    )


def describe_peer(hello: PeerHello) -> MemberAnnounced:
    """Return a peer's introduction for the member component."""
    return MemberAnnounced(
        member_id=hello.entry_id,
        kind=ProcessKind.ENTRY.value,
        region=hello.region,
        data_centre=hello.data_centre,
        incarnation=hello.incarnation,
        bundle_version=hello.bundle_version,
    )
