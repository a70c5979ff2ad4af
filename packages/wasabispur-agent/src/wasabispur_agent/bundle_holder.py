"""Own the bundle version in force in an agent."""

from __future__ import annotations

from collections.abc import Mapping

from wasabispur_core.bundle_version import (
    ApplyBundle,
    BundleVersionState,
    decide,
    SendToCounterpart,
)
from wasabispur_core.permit import SendToEntryLink
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute

AGENT_PATIENCE = 2.0
"""Seconds within which an agent leaves it to the entries to update each other."""


class BundleHolder(DecisionActor):
    """Take bundles from entries, and give them to entries that lost theirs."""

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
def _(command: SendToCounterpart, actor: BundleHolder) -> None:
    entry_id = command.counterpart.process_id
    link = actor.links.get(entry_id)
    if link is not None:
        link.post(SendToEntryLink(entry_id=entry_id, message=command.message))


@execute.register
def _(command: ApplyBundle, actor: BundleHolder) -> None:
    for listener in actor.listeners:
        listener.post(command)
