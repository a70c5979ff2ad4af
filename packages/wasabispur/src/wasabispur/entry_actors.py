"""Build the actors of an entry instance and connect them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random
from typing import Any

from pydantic import TypeAdapter, ValidationError

from wasabispur_core.bundle import BundleContent
from wasabispur_core.bundle_action import bundle_change_chart
from wasabispur_core.bundle_operation import BundleChangeState
from wasabispur_core.bundle_version import BundleVersionState, ProcessKind
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.error import StoreError
from wasabispur_core.member import member_chart, MemberState
from wasabispur_core.peer_directory import (
    ENTRY_SCHEMA,
    EntryRecord,
    PeerDirectoryState,
)
from wasabispur_core.protocol import MemberStatus, PeerHello
from wasabispur_core.request import RequestState
from wasabispur_core.request_action import request_chart
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.bundle_codec import BundleRecords
from wasabispur_runtime.signature import Ed25519Verifier

from .bundle_manager import BundleChangeManager, BundleManager
from .entry_settings import EntrySettings
from .membership import Membership
from .peer_link import PeerDirectory
from .peer_session import PeerContext
from .request_dispatcher import RequestDispatcher

ENTRY_RECORD = TypeAdapter(EntryRecord)


@dataclass(slots=True, kw_only=True)
class EntryActors:
    """Hold the actors of one entry and what its streams need."""

    membership: Membership
    dispatcher: RequestDispatcher
    bundles: BundleManager
    changes: BundleChangeManager
    directory: PeerDirectory
    context: PeerContext

    def start(self) -> None:
        """Start the actors on the running event loop."""
        for actor in self.in_order():
            actor.start()

    async def close(self) -> None:
        """Stop the actors, those that use others first."""
        for actor in reversed(self.in_order()):
            await actor.close()

    def in_order(self) -> list[Actor]:
        """Return the actors, each after those that it uses."""
        return [
            self.membership,
            self.dispatcher,
            self.bundles,
            self.changes,
            self.directory,
        ]


def build_actors(
    settings: EntrySettings, timers: TimerService, table: Actor
) -> EntryActors:
    """Return the connected actors of an entry."""
    catalogue = ChartCatalogue()
    # Wall-clock time orders the starts of one entry; it is compared with nothing else.
    incarnation = time.time_ns()
    membership = build_membership(settings, timers, catalogue, incarnation)
    requests = RequestState(settings.region, request_chart(catalogue), Random())
    dispatcher = RequestDispatcher(timers, requests, membership)
    version = build_version_state(settings)
    bundles = BundleManager(timers, version, membership, table)
    bundles.listeners += [membership]
    changes = build_changes(settings, timers, catalogue, bundles, table)
    membership.dispatcher = dispatcher
    membership.bundles = bundles
    context = PeerContext(
        hello=lambda: describe(settings, incarnation, version.version),
        timers=timers,
        membership=membership.post,
        interval=settings.heartbeat_interval,
        bundle_version=lambda: version.version,
    )
    own = EntryRecord(
        entry_id=settings.entry_id,
        address=settings.control_address,
        region=settings.region,
        data_centre=settings.data_centre,
        incarnation=incarnation,
    )
    peers = PeerDirectoryState(own, read_entry, Random())
    return EntryActors(
        membership=membership,
        dispatcher=dispatcher,
        bundles=bundles,
        changes=changes,
        directory=PeerDirectory(timers, peers, context, table),
        context=context,
    )


def build_membership(
    settings: EntrySettings,
    timers: TimerService,
    catalogue: ChartCatalogue,
    incarnation: int,
) -> Membership:
    """Return the membership with this entry as its first member."""
    own = MemberStatus(
        member_id=settings.entry_id,
        kind=ProcessKind.ENTRY.value,
        region=settings.region,
        data_centre=settings.data_centre,
        state="live",
        bundle_version=0,
        entry_id=settings.entry_id,
    )
    state = MemberState(settings.entry_id, member_chart(catalogue), incarnation)
    return Membership(timers, state, own)


def build_version_state(settings: EntrySettings) -> BundleVersionState:
    """Return the state of the bundle version before the first bundle."""
    return BundleVersionState(
        kind=ProcessKind.ENTRY,
        records=BundleRecords(),
        verifier=Ed25519Verifier(settings.operators),
        random=Random(),
    )


def build_changes(
    settings: EntrySettings,
    timers: TimerService,
    catalogue: ChartCatalogue,
    bundles: BundleManager,
    table: Actor,
) -> BundleChangeManager:
    """Return the actor for the operators' operations."""
    state = BundleChangeState(
        chart=bundle_change_chart(catalogue),
        records=BundleRecords(),
        verifier=Ed25519Verifier(settings.operators),
        admit=admit,
    )
    return BundleChangeManager(timers, state, bundles, table)


def admit(content: BundleContent) -> None:
    """Accept every content that is consistent in itself."""


def describe(
    settings: EntrySettings, incarnation: int, bundle_version: int
) -> PeerHello:
    """Return the introduction of this entry to a peer."""
    return PeerHello(
        entry_id=settings.entry_id,
        incarnation=incarnation,
        region=settings.region,
        data_centre=settings.data_centre,
        bundle_version=bundle_version,
    )


def read_entry(value: dict[str, Any]) -> EntryRecord:
    """Return the entry in a row; raise StoreError."""
    schema = value.get("schema")
    if not isinstance(schema, int) or schema > ENTRY_SCHEMA:
        raise StoreError(
            f"an entry row has schema {schema!r}, newer than {ENTRY_SCHEMA}",
            "upgrade this process to the release that wrote the row",
        )
    try:
        return ENTRY_RECORD.validate_python(value)
    except ValidationError as error:
        problem = error.errors(include_url=False)[0]
        raise StoreError(
            f"an entry row is not valid: {problem['msg']}",
            "restart the entry that wrote it",
        ) from error
