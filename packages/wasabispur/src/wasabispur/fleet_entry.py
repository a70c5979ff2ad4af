"""Wire the actors of an entry of the workload plane."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from uuid import uuid4

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.circuit import OPEN
from wasabispur_core.log_event import PROCESS_DRAINING, PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.message import Message
from wasabispur_core.ownership import Ownership, ReleaseOwnership
from wasabispur_core.ownership_action import ownership_chart
from wasabispur_core.shard import Shard
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.fleet_state import FleetTick
from wasabispur_core.workload.intake_action import call_charts
from wasabispur_core.workload.intake_state import IntakeState
from wasabispur_core.workload.lease_clock import owner_horizon
from wasabispur_core.workload.rows import SHARD
from wasabispur_core.workload.runner_state import LeaseTimes
from wasabispur_core.workload.scheduler import decide, new_fleet_state
from wasabispur_runtime.log import configure_output_log, log
from wasabispur_runtime.metrics import registry
from wasabispur_runtime.store_actor import Serve
from wasabispur_runtime.table_client import TableClient
from wasabispur_runtime.table_feed import FeedSource, ServeFeed, TableFeed
from wasabispur_runtime.timer_service import sleep
from wasabispur_runtime.workload_metrics import WorkloadMetrics

from .fleet_scheduler import FleetScheduler
from .fleet_settings import FleetEntrySettings
from .job_intake import JobIntake
from .policy_watcher import DecodePolicy, PolicyWatcher

OWNER_LEASE_TIME = 2.0
OWNER_RENEWAL_INTERVAL = 0.5
OWNER_TICK_INTERVAL = 0.25
"""Seconds of the owner's lease, between its renewals, and between two looks at it.

With the lease, a takeover and its reading fit into the bound on recovery.
"""

STORE_CALL_TIMEOUT = 1.4
STORE_TRANSACTION_TIMEOUT = 2.2
"""Seconds of one call to the store, and of a transaction with its repetitions.

Callers wait 3 s for an answer; one that comes later helps nobody.
"""

DRAIN_DELAY = 2.5
"""Seconds for the balancer to miss two readiness answers before the front closes."""

RELEASE_DELAY = 0.3
"""Seconds for the release of the ownership to be written."""


class EntryServer:
    """Stand for what lets callers in."""

    def open(self) -> None:
        """Begin to serve."""

    def announce_close(self) -> None:
        """Ask callers to use other connections from now on."""

    def close(self) -> None:
        """Finish the calls in progress and stop to serve."""


class FleetEntry:
    """Hold the actors of one entry."""

    def __init__(
        self,
        settings: FleetEntrySettings,
        timers: TimerService,
        serve_store: Serve,
        serve_feed: ServeFeed,
        decode_policy: DecodePolicy,
        policy_location: tuple[str, str],
    ) -> None:
        sink = configure_output_log(settings.entry_id, settings.log_level)
        self.metrics = WorkloadMetrics(registry, sink)
        self.settings = settings
        self.timers = timers
        self.catalogue = ChartCatalogue()
        self.serve_feed = serve_feed
        self.stopping = False
        self.table = TableClient(
            timers,
            settings.store_url,
            Random(),
            self.catalogue,
            STORE_CALL_TIMEOUT,
            serve_store,
            STORE_TRANSACTION_TIMEOUT,
            allow_trial_writes=False,
        )
        self.scheduler = FleetScheduler(
            timers, self._shard(), self.table, self.open_feed
        )
        self.intake = JobIntake(timers, self._intake_state(), self.table)
        table, prefix = policy_location
        self.policy = PolicyWatcher(
            timers,
            decode_policy,
            lambda receiver: self.open_feed(table, (prefix,), True, receiver),
            (self.intake, self.scheduler),
            self.table,
        )
        self.scheduler.observer = self.intake.observer = self.metrics.observe
        self.actors = (self.table, self.scheduler, self.intake, self.policy)

    def is_ready(self) -> bool:
        """Return whether the entry wants new connections.

        An entry that the store does not answer can only refuse jobs; the balancer
        sends callers to others meanwhile.
        """
        store_reachable = self.policy.connected and self.table.circuit != OPEN
        return bool(self.policy.version) and store_reachable and not self.stopping

    def apply_times(self, times: LeaseTimes) -> None:
        """Wait for silent workers by other durations from now on.

        Agents may hold leases by the former ones for a while, so the longer wait
        stays in force.
        """
        fleet = self.scheduler.shard.scheduler
        fleet.horizon = max(fleet.horizon, owner_horizon(times))

    def open_feed(
        self,
        table: str,
        prefixes: tuple[str, ...],
        watched: bool,
        receiver: Callable[[Message], None],
    ) -> TableFeed:
        """Return the feed of a table."""
        source = FeedSource(
            url=self.settings.store_url,
            serve=self.serve_feed,
            table=table,
            prefixes=prefixes,
            watched=watched,
        )
        return TableFeed(self.timers, source, receiver, Random(), self.catalogue)

    async def run(self, server: EntryServer, stop: asyncio.Event) -> None:
        """Serve until stop is set, then shut down gracefully."""
        for actor in self.actors:
            actor.start()
        server.open()
        registry.configure(self.settings.entry_id)
        log(PROCESS_STARTED, process=self.settings.entry_id)
        await stop.wait()
        log(PROCESS_DRAINING, process=self.settings.entry_id)
        self.stopping = True
        self.scheduler.post(ReleaseOwnership())
        server.announce_close()
        await sleep(self.timers, DRAIN_DELAY)
        await asyncio.to_thread(server.close)
        await sleep(self.timers, RELEASE_DELAY)
        for actor in reversed(self.actors):
            await actor.close()
        log(PROCESS_STOPPED, process=self.settings.entry_id)

    def _shard(self) -> Shard:
        ownership = Ownership(
            self.settings.entry_id,
            SHARD,
            ownership_chart(self.catalogue).start(),
            new_operation_id,
            lease_time=OWNER_LEASE_TIME,
            renewal_interval=OWNER_RENEWAL_INTERVAL,
            resumes=True,
        )
        horizon = owner_horizon(self.settings.lease_times)
        return Shard(
            ownership,
            new_fleet_state(self.catalogue, horizon),
            decide_jobs=decide,
            tick=FleetTick(),
            tick_interval=OWNER_TICK_INTERVAL,
        )

    def _intake_state(self) -> IntakeState:
        return IntakeState(
            charts=call_charts(self.catalogue), new_operation_id=new_operation_id
        )


def new_operation_id() -> str:
    """Return an id that no other write has."""
    return uuid4().hex
