"""Build the actors of an agent of the workload plane and run them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from uuid import uuid4

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import PROCESS_STARTED, PROCESS_STOPPED
from wasabispur_core.storage.circuit import FREQUENT_TRIALS
from wasabispur_core.storage.feed import LONG_POLL_TIMEOUT
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.agent.run_action import ordered_run_chart
from wasabispur_core.workload.agent.runner_state import LeaseTimes, RunnerState
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.log import configure_output_log, log
from wasabispur_runtime.metrics import registry
from wasabispur_runtime.operator_row_watcher import OperatorRows, OperatorRowWatcher
from wasabispur_runtime.store_actor import StoreTransport
from wasabispur_runtime.table_client import TableClient
from wasabispur_runtime.table_feed import FeedFactory, FeedTransport
from wasabispur_runtime.workload_metrics import WorkloadMetrics

from .fleet_runner import FleetRunner
from .fleet_settings import FleetAgentSettings
from .worker_caller import WorkerCaller, WorkerTransport

HEALTH_LONG_POLL = 5.0
"""Seconds for which the store waits for a change of the operators' rows.

Only the health path is read from them if there are no cordons, which are in force
within 5 s. A longer wait saves calls, as there are many agents.
"""


class FleetAgent:
    """Run the actors of one agent of the workload plane."""

    def __init__(
        self,
        settings: FleetAgentSettings,
        timers: TimerService,
        store_transport: StoreTransport,
        feed_transport: FeedTransport,
        worker_transport: WorkerTransport,
        operator_rows: OperatorRows,
    ) -> None:
        sink = configure_output_log(settings.agent_id, settings.log_level)
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
        self.table = TableClient(
            timers,
            settings.store_url,
            Random(),
            self.catalogue,
            transport=store_transport,
            allow_trial_writes=False,
            timing=FREQUENT_TRIALS,
        )
        self.worker = WorkerCaller(timers, worker_transport)
        state = RunnerState(
            agent_id=settings.agent_id,
            times=settings.lease_times,
            run_chart=ordered_run_chart(self.catalogue),
            new_operation_id=lambda: uuid4().hex,
            cordons=settings.cordons,
            health_times=settings.health_times if settings.health_checks else None,
        )
        self.runner = FleetRunner(timers, state, self.table, self.worker, feeds)
        self.worker.receiver = self.runner.post_urgent
        self.runner.observer = self.metrics.observe
        self.actors: tuple[Actor, ...] = (self.table, self.worker, self.runner)
        if settings.follows_operators:
            self.actors += (self._operator_row_watcher(operator_rows, feeds),)

    def _operator_row_watcher(
        self, rows: OperatorRows, feeds: FeedFactory
    ) -> OperatorRowWatcher:
        cordons = self.settings.cordons
        long_poll = LONG_POLL_TIMEOUT if cordons else HEALTH_LONG_POLL
        # The feed of orders tells the table client whether the store is reachable. If
        # only the operators' rows are not served, reports are written as before.
        return OperatorRowWatcher(
            self.timers,
            rows.decode_policy,
            partial(feeds.create, rows.table, (rows.prefix,), long_poll=long_poll),
            (self.runner,),
            None,
            rows.for_deployment(cordons).cordon_of,
        )

    def apply_lease_times(self, times: LeaseTimes) -> None:
        """Use other lease durations from now on."""
        self.runner.state.times = times

    async def run(
        self,
        open_control: Callable[[], None],
        close_control: Callable[[], None],
        stop: asyncio.Event,
    ) -> None:
        """Run until stop is set; the workers' runs continue under their leases."""
        for actor in self.actors:
            actor.start()
        open_control()
        registry.configure(self.settings.agent_id)
        log(PROCESS_STARTED, process=self.settings.agent_id)
        await stop.wait()
        await asyncio.to_thread(close_control)
        for actor in reversed(self.actors):
            await actor.close()
        log(PROCESS_STOPPED, process=self.settings.agent_id)
