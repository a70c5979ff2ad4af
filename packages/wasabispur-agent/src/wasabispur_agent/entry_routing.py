"""Route what arrives from entries to the actors of the agent."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from wasabispur_core.bundle_version import (
    BundleOffered,
    ProcessKind,
    RemoteProcess,
    RemoteProcessLost,
    VersionReported,
)
from wasabispur_core.message import Message
from wasabispur_core.permit import FromEntry
from wasabispur_core.protocol import HeartbeatAck, OfferBundle
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.link import LinkEnded


@dataclass(slots=True, kw_only=True)
class AgentActors:
    """Hold the actors that take messages from entries."""

    runner: Actor
    bundles: Actor

    def post(self, message: FromEntry) -> None:
        """Pass a message to the actor that handles its kind."""
        route(message.message, message, self)


@singledispatch
def route(content: Message, message: FromEntry, actors: AgentActors) -> None:
    """Pass a message from an entry to the actor that handles its kind."""
    actors.runner.post(message)


@route.register
def _(content: HeartbeatAck, message: FromEntry, actors: AgentActors) -> None:
    report = VersionReported(
        source=remote_process(message), version=content.bundle_version
    )
    actors.bundles.post(report)


@route.register
def _(content: OfferBundle, message: FromEntry, actors: AgentActors) -> None:
    offered = BundleOffered(bundle=content.bundle, source=remote_process(message))
    actors.bundles.post(offered)


@route.register
def _(content: LinkEnded, message: FromEntry, actors: AgentActors) -> None:
    actors.bundles.post(RemoteProcessLost(source=remote_process(message)))


def remote_process(message: FromEntry) -> RemoteProcess:
    """Return the entry that a message came from."""
    return RemoteProcess(kind=ProcessKind.ENTRY, process_id=message.entry_id)
