"""Apply the operators' cordons at an agent, which needs no owner for that.

An agent that has read a cordon starts nothing at its workers in the data centre, not
even for an earlier order: it refuses the order, so that the owner places the unit
again.
"""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import CORDONS_READ, CORDONS_UNREAD
from ..policies.cordon import CordonsChanged
from .runner_state import LocalWorker, ReportState, RunnerState

UNREAD_LIMIT = 5.0
"""Seconds after the first read of orders for which a start waits for the cordons.

A restarted agent reads both in one round trip. If the store serves the orders but not
the operators' rows, the owner still places no unit in a cordoned data centre.
"""

CONFIRMATION_AGE_LIMIT = 3.0
"""Maximum age in seconds of the last confirmed report if the store is reachable.

While it is unreachable, orders may be older than a cordon that the agent can't read.
"""


def apply_cordons(message: CordonsChanged, state: RunnerState) -> list[Command]:
    """Apply the set of cordoned data centres that was read last."""
    known, state.cordoned = state.cordoned, message.data_centres
    first, state.cordons_read = not state.cordons_read, state.cordons
    for worker_id, worker in state.workers.items():
        if worker.info.data_centre in known ^ state.cordoned:
            state.reports[worker_id].changed = True
    if not state.cordons or (known == state.cordoned and not first):
        return []
    fields = {"data_centres": sorted(state.cordoned)}
    return [WriteLog(number=CORDONS_READ.number, fields=fields)]


def is_cordoned(worker: LocalWorker, state: RunnerState) -> bool:
    """Return whether nothing may be started at a worker."""
    return worker.info.data_centre in state.cordoned


def may_start_orders(report: ReportState, state: RunnerState, now: float) -> bool:
    """Return whether the cordons are known, or have been waited for long enough.

    report is the state of the report on the run's worker.
    """
    if state.cordons_read or not state.cordons:
        return True
    waited = now - state.orders_read_at >= UNREAD_LIMIT
    return waited and now - report.confirmed_at <= CONFIRMATION_AGE_LIMIT


def log_unread_cordons(state: RunnerState, now: float) -> list[Command]:
    """Log once that runs are started although the cordons have not been read."""
    unread = state.cordons and not state.cordons_read
    if not unread or state.unread_logged:
        return []
    if not any(may_start_orders(one, state, now) for one in state.reports.values()):
        return []
    state.unread_logged = True
    fields = {"seconds": round(now - state.orders_read_at, 1)}
    return [WriteLog(number=CORDONS_UNREAD.number, fields=fields)]
