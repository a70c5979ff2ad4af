"""Take former runs for lost that their workers list neither as active nor as ended.

The start of a member may never have reached its worker, although the ends of the other
members show that the gang's run is over. No list will contain how such a run ended.
"""

from __future__ import annotations

from ...command import Command
from ..jobs.unit import UnknownEndLearned
from ..jobs.unit_lifecycle import learn_end
from ..owner.fleet_state import FleetState
from .lost_run import unknown_ends_on
from .reported_worker import Worker
from .worker import EndKind, WorkerReport


def learn_unlisted_ends(
    worker: Worker, report: WorkerReport, state: FleetState, now: float
) -> list[Command]:
    """End the wait for runs that the lists have lacked for the lease horizon.

    A worker lists an end until it is acknowledged, in all of its incarnation. A start
    that is carried out late is listed within the horizon.
    """
    if not report.listing:
        # The agent was restarted, and has yet to receive a list.
        return []
    listed = {(run.task, run.run) for run in report.runs}
    listed |= {(end.task, end.run) for end in report.ended}
    listed |= {(refused.task, refused.run) for refused in report.refused}
    commands: list[Command] = []
    unlisted: dict[tuple[str, int], float] = {}
    for unit, end in unknown_ends_on(worker.worker_id, state):
        key = str(unit.task_id(end.index)), end.run
        if key in listed or end.incarnation != worker.info.incarnation:
            continue
        since = worker.unlisted_since.get(key, now)
        if now - since < state.horizon:
            unlisted[key] = since
            continue
        learned = UnknownEndLearned(end=end, kind=EndKind.LOST)
        commands += learn_end(unit, learned, state, now)
    worker.unlisted_since = unlisted
    return commands
