"""Route messages from entry instances to the actors of an agent."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from wasabispur_core.bundles.bundle_version import (
    BundleOffered,
    ProcessKind,
    RemoteProcess,
    RemoteProcessLost,
    VersionReported,
)
from wasabispur_core.message import Message
from wasabispur_core.protocol import HeartbeatAck, OfferBundle
from wasabispur_core.requests.permit import FromEntry
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.link import LinkEnded


@dataclass(slots=True, kw_only=True)
class EntryMessageRouter:
    """Pass messages from entries to the agent's actors.

    The bundle actor receives messages about bundle versions, and the runner all
    others.
    """

    runner: Actor
    bundles: Actor

    def post(self, message: FromEntry) -> None:
        """Pass a message to the actor that handles its class."""
        route(message.message, message, self)


@singledispatch
def route(content: Message, message: FromEntry, router: EntryMessageRouter) -> None:
    """Pass a message from an entry to the actor that handles its class."""
    router.runner.post(message)


@route.register
def _(content: HeartbeatAck, message: FromEntry, router: EntryMessageRouter) -> None:
    report = VersionReported(
        source=remote_process(message), version=content.bundle_version
    )
    router.bundles.post(report)


@route.register
def _(content: OfferBundle, message: FromEntry, router: EntryMessageRouter) -> None:
    offered = BundleOffered(bundle=content.bundle, source=remote_process(message))
    router.bundles.post(offered)


@route.register
def _(content: LinkEnded, message: FromEntry, router: EntryMessageRouter) -> None:
    router.bundles.post(RemoteProcessLost(source=remote_process(message)))


def remote_process(message: FromEntry) -> RemoteProcess:
    """Return the entry that sent a message."""
    return RemoteProcess(kind=ProcessKind.ENTRY, process_id=message.entry_id)
