"""Run an entry instance of the workload plane: build and connect its actors."""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random
from uuid import uuid4

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import PROCESS_DRAINING, PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.sharding.ownership import Ownership, ReleaseOwnership
from wasabispur_core.sharding.ownership_action import ownership_chart
from wasabispur_core.sharding.shard import Shard
from wasabispur_core.storage.circuit import FREQUENT_TRIALS, OPEN
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.admission.load_knowledge import new_load_knowledge
from wasabispur_core.workload.admission.load_row import load_prefix, LOAD_TABLE
from wasabispur_core.workload.agent.lease_clock import owner_horizon
from wasabispur_core.workload.agent.runner_state import LeaseTimes
from wasabispur_core.workload.intake.call_chart import call_charts
from wasabispur_core.workload.intake.intake_state import IntakeState
from wasabispur_core.workload.intake.submission_check import (
    SUBMISSION_CHECK,
    submission_check_chart,
)
from wasabispur_core.workload.owner.fleet_message import FleetTick
from wasabispur_core.workload.owner.scheduler import decide, new_fleet_state
from wasabispur_core.workload.rows import ROWS_SCHEMA, SHARD
from wasabispur_runtime.load_watcher import LOAD_LONG_POLL, LoadWatcher
from wasabispur_runtime.log import configure_output_log, log
from wasabispur_runtime.loop_monitor import LoopMonitor
from wasabispur_runtime.metrics import registry
from wasabispur_runtime.operator_row_watcher import OperatorRows, OperatorRowWatcher
from wasabispur_runtime.store_actor import StoreTransport
from wasabispur_runtime.table_client import TableClient
from wasabispur_runtime.table_feed import FeedFactory, FeedTransport
from wasabispur_runtime.timer_service import sleep
from wasabispur_runtime.workload_metrics import WorkloadMetrics

from .fleet_scheduler import FleetScheduler
from .fleet_settings import FleetEntrySettings
from .job_intake import JobIntake

OWNER_LEASE_TIME = 2.0
OWNER_RENEWAL_INTERVAL = 0.5
OWNER_TICK_INTERVAL = 0.25
"""Seconds of the shard owner's lease, between its renewals, and between ticks.

The lease is short enough that a takeover, which includes reading all rows, meets the
bound on recovery time.
"""

STORE_CALL_TIMEOUT = 1.4
STORE_TRANSACTION_TIMEOUT = 2.2
"""Seconds for one call to the store, and for a transaction with its retries.

Callers wait 3 s for an answer, so a transaction has to end before that.
"""

DRAIN_DELAY = 2.5
"""Seconds between the end of readiness and the close of the server for callers.

The load balancer sees two failed readiness checks in this time.
"""

RELEASE_DELAY = 0.3
"""Seconds to wait until the release of the shard's ownership is written."""


class EntryServer:
    """Define the server through which callers reach an entry."""

    def open(self) -> None:
        """Start to serve calls."""

    def announce_close(self) -> None:
        """Ask callers to stop using their connections to this entry."""

    def close(self) -> None:
        """Finish the calls in progress and stop serving."""


class FleetEntry:
    """Build and run the actors of one entry of the workload plane.

    operator_rows states where the operators' configuration and cordons are.
    """

    def __init__(
        self,
        settings: FleetEntrySettings,
        timers: TimerService,
        store_transport: StoreTransport,
        feed_transport: FeedTransport,
        operator_rows: OperatorRows,
    ) -> None:
        sink = configure_output_log(settings.entry_id, settings.log_level)
        self.metrics = WorkloadMetrics(registry, sink)
        self.settings = settings
        self.timers = timers
        self.catalogue = ChartCatalogue()
        feeds = FeedFactory(
            timers=timers,
            url=settings.store_url,
            transport=feed_transport,
            catalogue=self.catalogue,
        )
        self.stopping = False
        self.table = TableClient(
            timers,
            settings.store_url,
            Random(),
            self.catalogue,
            STORE_CALL_TIMEOUT,
            store_transport,
            STORE_TRANSACTION_TIMEOUT,
            allow_trial_writes=False,
            timing=FREQUENT_TRIALS,
        )
        self.scheduler = FleetScheduler(timers, self._shard(), self.table, feeds)
        self.intake = JobIntake(timers, self._intake_state(), self.table)
        self.operator_rows = OperatorRowWatcher(
            timers,
            operator_rows.decode_policy,
            partial(feeds.create, operator_rows.table, (operator_rows.prefix,)),
            (self.intake, self.scheduler),
            self.table,
            operator_rows.for_deployment(settings.cordons).cordon_of,
        )
        self.load = self._load_watcher(feeds)
        self.scheduler.observer = self.intake.observer = self.metrics.observe
        self.monitor = LoopMonitor(timers)
        self.actors = (
            self.table,
            self.scheduler,
            self.intake,
            self.operator_rows,
            self.monitor,
            *self.load,
        )

    def is_ready(self) -> bool:
        """Return whether the entry accepts new connections.

        While the store is unreachable, the entry can only refuse jobs, and while its
        event loop is stalled, it answers no call, so the load balancer has to send
        callers to other entries.
        """
        if self.stopping or self.monitor.stalled:
            return False
        store_reachable = self.operator_rows.connected and self.table.circuit != OPEN
        return bool(self.operator_rows.version) and store_reachable

    def apply_lease_times(self, times: LeaseTimes) -> None:
        """Apply changed lease times to the wait for workers that stopped reporting.

        Agents may still hold leases under the previous times, so the wait is never
        shortened.
        """
        fleet = self.scheduler.shard.scheduler
        fleet.horizon = max(fleet.horizon, owner_horizon(times))

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
            schema=ROWS_SCHEMA,
        )
        horizon = owner_horizon(self.settings.lease_times)
        return Shard(
            ownership,
            new_fleet_state(
                self.catalogue,
                horizon,
                self.settings.remote_factor,
                self.settings.estimate_use,
                self.settings.stop_times,
                ownership.lease,
                self.settings.admission_control,
                self.settings.fair_shares,
                self.settings.worker_speeds,
            ),
            decide_jobs=decide,
            tick=FleetTick(),
            tick_interval=OWNER_TICK_INTERVAL,
        )

    def _intake_state(self) -> IntakeState:
        state = IntakeState(
            charts=call_charts(self.catalogue), new_operation_id=new_operation_id
        )
        if self.settings.admission_control:
            state.charts[SUBMISSION_CHECK] = submission_check_chart(self.catalogue)
            state.load = new_load_knowledge(self.catalogue)
        return state

    def _load_watcher(self, feeds: FeedFactory) -> tuple[LoadWatcher, ...]:
        """Return the watcher of the fleet's load, if new jobs depend on it."""
        if not self.settings.admission_control:
            return ()
        open_feed = partial(
            feeds.create, LOAD_TABLE, (load_prefix(),), long_poll=LOAD_LONG_POLL
        )
        return (LoadWatcher(self.timers, open_feed, self.intake),)


def new_operation_id() -> str:
    """Return a unique id for a write."""
    return uuid4().hex
