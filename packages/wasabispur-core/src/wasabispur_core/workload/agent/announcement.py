"""Judge a worker's heartbeats at the agent: which is newer, and what it changes."""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import WORKER_ANNOUNCED
from ..workers.worker import is_later_incarnation, WorkerInfo, WorkerState
from .lease_clock import former_lease_end
from .runner_message import WorkerAnnounced
from .runner_state import LocalWorker, RunnerState


def new_worker(info: WorkerInfo, state: RunnerState, now: float) -> LocalWorker:
    """Return the state of a worker of which this process knows nothing yet."""
    return LocalWorker(
        info=info, lease_until=former_lease_end(state.times, now), announced_at=now
    )


def is_newer(message: WorkerAnnounced, worker: LocalWorker) -> bool:
    """Return whether a heartbeat is newer than the last heartbeat of its worker."""
    info, known = message.info, worker.info
    if info.incarnation != known.incarnation:
        return is_later_incarnation(info.incarnation, known.incarnation)
    if worker.departed and info.state is not WorkerState.READY:
        return False
    return info.sequence > known.sequence


def is_other_offer(info: WorkerInfo, worker: LocalWorker) -> bool:
    """Return whether a newer heartbeat changes what the worker accepts."""
    known = worker.info
    changed = info.state != known.state or info.capacity != known.capacity
    return changed or worker.departed


def announcement_log(worker_id: str, state: RunnerState) -> Command:
    """Return the log record of what a worker announces."""
    info = state.workers[worker_id].info
    fields = {
        "worker": worker_id,
        "incarnation": info.incarnation,
        "state": info.state.value,
        "service": info.service,
        "sequence": info.sequence,
    }
    return WriteLog(number=WORKER_ANNOUNCED.number, fields=fields)
