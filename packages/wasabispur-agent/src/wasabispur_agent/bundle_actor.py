"""Manage the bundle version that is in force in an agent."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from wasabispur_core.bundles.bundle_version import (
    ApplyBundle,
    BundleVersionState,
    decide,
    ProcessKind,
    SendToRemoteProcess,
)
from wasabispur_core.protocol import Announce
from wasabispur_core.requests.permit import SendToEntryLink
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.bundle_codec import BundleRecords
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.signature import Ed25519Verifier

from .agent_settings import AgentSettings

AGENT_OFFER_DELAY = 2.0
"""Largest delay in seconds before an agent offers its bundle to an entry.

In this time the entries usually update each other.
"""


class BundleActor(DecisionActor):
    """Apply bundles from entries, and offer them to entries with an older version."""

    def __init__(
        self,
        timers: TimerService,
        state: BundleVersionState,
        links: Mapping[str, Actor],
    ) -> None:
        super().__init__("bundle-holder", timers, state, decide)
        self.links = links
        self.listeners: list[Actor] = []


@execute.register
def _(command: SendToRemoteProcess, actor: BundleActor) -> None:
    entry_id = command.remote_process.process_id
    link = actor.links.get(entry_id)
    if link is not None:
        link.post(SendToEntryLink(entry_id=entry_id, message=command.message))


@execute.register
def _(command: ApplyBundle, actor: BundleActor) -> None:
    for listener in actor.listeners:
        listener.post(command)


def build_bundle_actor(
    settings: AgentSettings, timers: TimerService, links: Mapping[str, Actor]
) -> BundleActor:
    """Return the bundle actor of an agent."""
    state = BundleVersionState(
        kind=ProcessKind.AGENT,
        records=BundleRecords(),
        verifier=Ed25519Verifier(settings.operators),
        random=Random(),
        max_offer_delay=AGENT_OFFER_DELAY,
    )
    return BundleActor(timers, state, links)


def build_announce_callback(
    announce: Callable[[bool, int], Announce], near: bool, state: BundleVersionState
) -> Callable[[], Announce]:
    """Return a function that builds the announcement for a link.

    The announcement contains the bundle version in force at the time of the call.
    """
    return lambda: announce(near, state.version)
