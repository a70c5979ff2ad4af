"""Clear the state that an entry keeps only while it owns the shard."""

from __future__ import annotations

from math import inf

from ..admission.published_load import PublishedLoad
from ..planning.fleet_view import FleetView
from ..planning.organisation_share import LoggedShares
from ..planning.planner import Planner
from ..run_times.run_time import RunTimeModel
from ..run_times.worker_speed import WorkerSpeeds
from .fleet_state import FleetState


def reset_state(state: FleetState) -> None:
    """Clear the state that is valid only while this entry is the owner."""
    for collection in (
        state.jobs,
        state.removed_jobs,
        state.workers,
        state.units_by_worker,
        state.dirty_jobs,
        state.dirty_workers,
        state.pending_cancellations,
        state.progress,
        state.queue_counts,
        state.obsolete_rows,
        state.waiting,
        state.units_with_unknown_ends,
        state.unreported_since,
        state.evictions,
        state.cordons.tracked,
    ):
        collection.clear()
    state.run_times = RunTimeModel(use=state.run_times.use)
    state.worker_speeds = WorkerSpeeds(enabled=state.worker_speeds.enabled)
    state.published_load = PublishedLoad(enabled=state.published_load.enabled)
    state.view = FleetView()
    state.share_log = LoggedShares()
    state.planner = Planner()
    state.loading = set()
    state.takeover = None
    state.pass_scheduled = False
    state.planning_lease.held_back = False
    state.reports_since = inf
