"""Build the actors of an entry instance and connect them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random
from typing import Any

from pydantic import TypeAdapter, ValidationError

from wasabispur_core.bundles.bundle_action import bundle_change_chart
from wasabispur_core.bundles.bundle_operation import BundleChangeState
from wasabispur_core.bundles.bundle_version import BundleVersionState, ProcessKind
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.error import StoreError
from wasabispur_core.jobs.fleet import Fleet
from wasabispur_core.membership.member import member_chart, MemberState
from wasabispur_core.membership.peer_directory import (
    ENTRY_SCHEMA,
    EntryRecord,
    PeerDirectoryState,
)
from wasabispur_core.protocol import MemberStatus, PeerHello
from wasabispur_core.requests.request import RequestState
from wasabispur_core.requests.request_chart import request_chart
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.bundle_codec import BundleRecords
from wasabispur_runtime.signature import Ed25519Verifier
from wasabispur_runtime.table_client import TableClient

from .bundle_manager import BundleChangeManager, BundleManager
from .entry_settings import EntrySettings
from .membership import Membership
from .peer_link import PeerDirectory
from .peer_session import PeerContext
from .request_dispatcher import RequestDispatcher

ENTRY_RECORD = TypeAdapter(EntryRecord)


@dataclass(slots=True, kw_only=True)
class BundleActors:
    """Group the actors for bundles and peers, which need the table service."""

    table: TableClient
    manager: BundleManager
    changes: BundleChangeManager
    directory: PeerDirectory


@dataclass(slots=True, kw_only=True)
class EntryActors:
    """Group the actors of one entry; bundles is None without a table service."""

    membership: Membership
    dispatcher: RequestDispatcher
    context: PeerContext
    bundles: BundleActors | None = None

    def start(self) -> None:
        """Start the actors on the running event loop."""
        for actor in self.in_start_order():
            actor.start()

    async def close(self) -> None:
        """Stop the actors, each before those that it uses."""
        for actor in reversed(self.in_start_order()):
            await actor.close()

    def in_start_order(self) -> list[Actor]:
        """Return the actors, each after those that it uses."""
        actors: list[Actor] = [self.membership, self.dispatcher]
        if self.bundles is None:
            return actors
        bundles = self.bundles
        return [
            bundles.table,
            *actors,
            bundles.manager,
            bundles.changes,
            bundles.directory,
        ]


def build_actors(settings: EntrySettings, timers: TimerService) -> EntryActors:
    """Return the connected actors of an entry."""
    # Wall-clock time orders the starts of one entry; it is compared with nothing else.
    incarnation = time.time_ns()
    membership = build_membership(settings, timers, incarnation)
    requests = RequestState(settings.region, request_chart(ChartCatalogue()), Random())
    dispatcher = RequestDispatcher(timers, requests, membership)
    membership.dispatcher = dispatcher
    version = build_version_state(settings)
    context = build_context(settings, membership, incarnation, version)
    actors = EntryActors(membership=membership, dispatcher=dispatcher, context=context)
    # Without a table service there are no bundles.
    dispatcher.classes_known = settings.table_url is None
    if settings.table_url is not None:
        table = TableClient(timers, settings.table_url, Random())
        dispatcher.table = table
        actors.bundles = build_bundles(settings, table, context, version)
        membership.bundles = actors.bundles.manager
        membership.changes = actors.bundles.changes
        actors.bundles.manager.listeners += [membership, dispatcher]
    return actors


def build_membership(
    settings: EntrySettings, timers: TimerService, incarnation: int = 0
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
    chart = member_chart(ChartCatalogue())
    return Membership(timers, MemberState(settings.entry_id, chart, incarnation), own)


def build_context(
    settings: EntrySettings,
    membership: Membership,
    incarnation: int,
    version: BundleVersionState,
) -> PeerContext:
    """Return the context that the streams of this entry share."""
    return PeerContext(
        hello=lambda: build_hello(settings, incarnation, version.version),
        timers=membership.timers,
        membership=membership,
        interval=settings.heartbeat_interval,
        bundle_version=lambda: version.version,
    )


def build_bundles(
    settings: EntrySettings,
    table: TableClient,
    context: PeerContext,
    version: BundleVersionState,
) -> BundleActors:
    """Return the actors for bundles and peers."""
    timers, membership = context.timers, context.membership
    manager = BundleManager(timers, version, membership, table)
    changes = BundleChangeState(
        chart=bundle_change_chart(ChartCatalogue()),
        records=BundleRecords(),
        verifier=Ed25519Verifier(settings.operators),
        fleets={name: Fleet() for name in settings.shards or [settings.data_centre]},
    )
    own = EntryRecord(
        entry_id=settings.entry_id,
        address=settings.control_address,
        region=settings.region,
        data_centre=settings.data_centre,
        incarnation=context.hello().incarnation,
    )
    peers = PeerDirectoryState(own, read_entry, Random())
    return BundleActors(
        table=table,
        manager=manager,
        changes=BundleChangeManager(timers, changes, manager, table),
        directory=PeerDirectory(timers, peers, context, table),
    )


def build_version_state(settings: EntrySettings) -> BundleVersionState:
    """Return the state of the bundle version before the first bundle."""
    return BundleVersionState(
        kind=ProcessKind.ENTRY,
        records=BundleRecords(),
        verifier=Ed25519Verifier(settings.operators),
        random=Random(),
    )


def build_hello(
    settings: EntrySettings, incarnation: int, bundle_version: int
) -> PeerHello:
    """Return the PeerHello of this entry."""
    return PeerHello(
        entry_id=settings.entry_id,
        incarnation=incarnation,
        region=settings.region,
        data_centre=settings.data_centre,
        bundle_version=bundle_version,
    )


def read_entry(value: dict[str, Any]) -> EntryRecord:
    """Return the entry in a row; raise StoreError if it is invalid or too new."""
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
