"""Check at the agent whether its worker considers itself healthy, and report it.

The agent makes one check at a time, at the path that the newest configuration names for
the worker's service; without a path it makes none. The answer becomes part of the
report on the worker, and a change is reported at once. What follows from it is up to
the owner.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...command import Command, SetTimer, WriteLog
from ...log_event import WORKER_HEALTH_ANSWERED
from ...message import Message
from ..workers.worker import HealthAnswer
from .runner_message import WorkerCall
from .runner_state import HealthCheck, LocalWorker, RunnerState

UNANSWERED_LIMIT = 2
"""Successive checks without a valid answer after which a worker counts as unanswered.

One lost answer says little: the next check may use another connection.
"""

LOG_INTERVAL = 10.0
"""Seconds between two log lines on a worker, whose answers may change every second."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckHealth(WorkerCall):
    """Request a worker's health check, which may take timeout seconds."""

    path: str
    timeout: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthAnswered(Message):
    """Deliver a worker's answer, or report that there was no valid one."""

    worker_id: str
    incarnation: str
    answer: HealthAnswer
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthCheckDue(Message):
    """Tell the runner that the next check of a worker is due."""

    worker_id: str


def begin_checks(worker: LocalWorker, state: RunnerState) -> list[Command]:
    """Begin to check a new worker, or forget the answer of a former incarnation."""
    if state.health_times is None:
        return []
    worker_id = worker.info.worker_id
    former = state.health_checks.get(worker_id)
    check = state.health_checks[worker_id] = HealthCheck()
    if former is not None:
        # A check of the former incarnation may be in progress, and the timer is set.
        check.in_flight = former.in_flight
        check.logged, check.logged_at = former.logged, former.logged_at
        check.changes = check.logged_changes = former.changes
        return []
    return [_timer(worker_id, 0.0)]


def handle_check_due(
    message: HealthCheckDue, state: RunnerState, now: float
) -> list[Command]:
    """Make the next check of a worker, unless the last one is still in progress."""
    times = state.health_times
    check = state.health_checks.get(message.worker_id)
    worker = state.workers.get(message.worker_id)
    if times is None or check is None:
        return []
    if worker is None:
        del state.health_checks[message.worker_id]
        return []
    timer = _timer(message.worker_id, times.interval)
    service = state.policy.services.get(worker.info.service)
    if service is None or not service.health_path:
        if check.answer is not HealthAnswer.UNKNOWN:
            _change(check, HealthAnswer.UNKNOWN, message.worker_id, state, now)
        return [timer]
    log = _log(check, message.worker_id, now)
    if check.in_flight:
        return [timer, *log]
    check.in_flight = True
    call = CheckHealth(
        worker_id=message.worker_id,
        incarnation=worker.info.incarnation,
        address=worker.info.address,
        epoch=worker.epoch,
        path=service.health_path,
        timeout=times.timeout,
    )
    return [timer, call, *log]


def handle_health_answer(
    message: HealthAnswered, state: RunnerState, now: float
) -> list[Command]:
    """Apply the answer to a check, and have a change reported."""
    check = state.health_checks.get(message.worker_id)
    if check is None:
        return []
    check.in_flight = False
    worker = state.workers.get(message.worker_id)
    if worker is None or worker.info.incarnation != message.incarnation:
        return []
    answer = message.answer
    check.unanswered = check.unanswered + 1 if answer is HealthAnswer.UNANSWERED else 0
    if 0 < check.unanswered < UNANSWERED_LIMIT or answer is check.answer:
        return []
    check.reason = message.reason
    _change(check, answer, message.worker_id, state, now)
    return _log(check, message.worker_id, now)


def reported_health(
    worker_id: str, state: RunnerState, now: float
) -> tuple[HealthAnswer, float, int]:
    """Return a worker's answer for its report, its age in seconds, and its changes.

    The defaults, which a report's row leaves out, stand for an unknown answer.
    """
    check = state.health_checks.get(worker_id)
    if check is None or check.answer is HealthAnswer.UNKNOWN:
        return HealthAnswer.UNKNOWN, 0.0, 0
    return check.answer, round(now - check.since, 3), check.changes


def _change(
    check: HealthCheck,
    answer: HealthAnswer,
    worker_id: str,
    state: RunnerState,
    now: float,
) -> None:
    check.answer = answer
    check.since = now
    check.changes += 1
    state.reports[worker_id].changed = True


def _log(check: HealthCheck, worker_id: str, now: float) -> list[Command]:
    """Log the answer if it differs from the last one logged, some time after that."""
    unchanged = check.answer in (HealthAnswer.UNKNOWN, check.logged)
    if unchanged or now - check.logged_at < LOG_INTERVAL:
        return []
    fields = {
        "worker": worker_id,
        "answer": check.answer.value,
        "changes": check.changes - check.logged_changes,
        "reason": check.reason,
    }
    check.logged = check.answer
    check.logged_at = now
    check.logged_changes = check.changes
    return [WriteLog(number=WORKER_HEALTH_ANSWERED.number, fields=fields)]


def _timer(worker_id: str, delay: float) -> Command:
    due = HealthCheckDue(worker_id=worker_id)
    return SetTimer(timer_id=f"health:{worker_id}", delay=delay, message=due)
