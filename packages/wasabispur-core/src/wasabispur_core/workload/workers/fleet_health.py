"""Apply the answers to health checks at the shard's owner, and log what follows.

Half of the workers of a service that are down at once are no sign of faulty workers but
of a fault of the checks, or of a common cause: trust in them is not reduced then, as no
better workers are left.
"""

from __future__ import annotations

from collections import Counter

from ...command import Command, WriteLog
from ...log_event import (
    HEALTH_ANSWERS_COUNTED,
    HEALTH_SIGNAL_DISREGARDED,
    HEALTH_SIGNAL_USED,
    WORKER_TRUST_CHANGED,
)
from ..jobs.unit import Unit
from ..owner.fleet_state import FleetState
from ..planning.plan import Trust
from .reported_worker import Worker
from .worker import HealthAnswer, WorkerReport, WorkerState
from .worker_health import FLAP_WINDOW, WorkerHealth
from .worker_trust import restore_trust, trust_level

DISREGARD_SHARE = 0.5
"""Share of a service's workers that look down from which answers are disregarded."""

USE_SHARE = 0.4
"""Share below which answers count again; the gap prevents alternation."""

DISREGARD_LEAST = 2
"""Least number of workers that look down for that to be no sign of faulty ones."""

COUNT_INTERVAL = 5.0
"""Seconds between two counts of the workers by answer."""


def apply_health(worker: Worker, report: WorkerReport, now: float) -> None:
    """Apply the answer in a report, and what the report shows about the contact.

    worker still has the state of the last report.
    """
    health = worker.health
    if worker.session != report.session:
        # Another agent, or a restarted one, counts from the beginning.
        health.answered(HealthAnswer.UNKNOWN, now)
    was, is_now = worker.info.state, report.info.state
    if is_now is not WorkerState.READY and (
        worker.leaving or is_now is not WorkerState.UNREACHABLE
    ):
        # A worker that drains answers as unhealthy, which is no fault.
        health.answered(HealthAnswer.UNKNOWN, now)
        return
    health.answered(report.health, now - report.health_age, report.health_changes)
    if not health.checked:
        return
    if (was, is_now) == (WorkerState.READY, WorkerState.UNREACHABLE):
        health.went_down(now)
    elif (was, is_now) == (WorkerState.UNREACHABLE, WorkerState.READY):
        health.came_up(now)


def apply_restart(worker: Worker, now: float) -> None:
    """Apply a new incarnation; a worker that flaps stays suspected."""
    health = worker.health
    if health.checked:
        health.restarted(worker.leaving, now)
    if not health.checked or not health.flaps(now):
        restore_trust(worker)


def note_progress(worker: Worker, unit: Unit, started_at: float, now: float) -> None:
    """Apply the observed progress of a run on a worker."""
    health = worker.health
    if not health.checked or unit.step.long_running:
        # A run of a long-running step is listed at 100% from its start.
        return
    if health.progressed(started_at, now):
        restore_trust(worker)


def check_fleet(state: FleetState, now: float) -> list[Command]:
    """Decide whether the checks are reliable, and log changes; part of the tick."""
    checked = [worker for worker in state.workers.values() if worker.health.checked]
    for worker in checked:
        if worker.health.is_outdated(now):
            worker.health = WorkerHealth()
    if not checked:
        return []
    commands: list[Command] = []
    noted = [worker for worker in checked if not worker.health.calm]
    if noted or state.disregarded_services:
        commands += _check_services(checked, state, now)
    for worker in checked:
        if not worker.health.calm or worker.health.reported is not Trust.FULL:
            commands += _log_trust(worker, now)
            worker.health.forget_downs(now)
    return commands + _count_answers(checked, state, now)


def _check_services(
    checked: list[Worker], state: FleetState, now: float
) -> list[Command]:
    commands: list[Command] = []
    present = [one for one in checked if one.info.state is WorkerState.READY]
    total = Counter(worker.info.service for worker in present)
    down = Counter(
        worker.info.service for worker in present if worker.health.looks_down(now)
    )
    for service, count in total.items():
        known = service in state.disregarded_services
        limit = (USE_SHARE if known else DISREGARD_SHARE) * count
        disregarded = down[service] >= max(limit, DISREGARD_LEAST)
        if disregarded is known:
            continue
        event = HEALTH_SIGNAL_DISREGARDED if disregarded else HEALTH_SIGNAL_USED
        fields = {"service": service, "down": down[service], "workers": count}
        commands.append(WriteLog(number=event.number, fields=fields))
        state.disregarded_services ^= {service}
    for worker in checked:
        worker.health.disregarded = worker.info.service in state.disregarded_services
    return commands


def _log_trust(worker: Worker, now: float) -> list[Command]:
    """Log that a worker became doubtful, or is fully trusted again.

    A worker stays doubtful for longer than a turn of one that flaps, which bounds the
    number of lines.
    """
    health = worker.health
    trust = trust_level(worker, now)
    if (trust is Trust.FULL) is (health.reported is Trust.FULL):
        return []
    health.reported = trust
    fields = {
        "worker": worker.worker_id,
        "trust": trust.value,
        "answer": health.answer.value,
        "strikes": health.strikes,
        "failed_units": len(worker.failed_units),
        "downs": sum(now - at <= FLAP_WINDOW for at in health.downs),
    }
    return [WriteLog(number=WORKER_TRUST_CHANGED.number, fields=fields)]


def _count_answers(
    checked: list[Worker], state: FleetState, now: float
) -> list[Command]:
    if now - state.health_counted_at < COUNT_INTERVAL:
        return []
    state.health_counted_at = now
    counts = Counter(worker.health.answer for worker in checked)
    fields: dict[str, object] = {one.value: counts[one] for one in HealthAnswer}
    fields["doubtful"] = sum(one.health.reported is not Trust.FULL for one in checked)
    return [WriteLog(number=HEALTH_ANSWERS_COUNTED.number, fields=fields)]
