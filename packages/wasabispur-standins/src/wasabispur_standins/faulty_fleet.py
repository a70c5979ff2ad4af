"""Run a load against the shard owner's scheduler while some workers are faulty."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from random import Random

from wasabispur_core.workload.jobs.unit import ENDED_STATES, Unit, UnitId
from wasabispur_core.workload.workers.worker import EndKind, HealthAnswer

from .faulty_worker import (
    FAILURE_TIME,
    FaultCost,
    FaultKind,
    FaultPlan,
    FAULTY_UNTIL,
    FaultyWorkers,
    HANGING,
    REFUSING,
)
from .fleet_experiment import (
    FleetExperiment,
    RACK_SIZE,
    REPORT_DELAY,
    SimulatedRun,
)
from .fleet_load import generate_jobs, GeneratedJob
from .fleet_result import QueueResult
from .fleet_speed import SpeedPlan

CHECK_INTERVAL = 0.5
"""Seconds between two health checks of a worker."""


class FaultyFleetExperiment(FleetExperiment):
    """Represent an owner and its fleet, of which some workers are faulty for a time."""

    def __init__(
        self,
        workers: int,
        organisations: int,
        jobs: Sequence[GeneratedJob],
        rack_size: int,
        plan: FaultPlan,
        random: Random,
    ) -> None:
        speed_plan = SpeedPlan(lockstep=True)
        super().__init__(workers, organisations, jobs, rack_size, speed_plan=speed_plan)
        self.faulty = FaultyWorkers(plan, list(self.reports), random)
        self.cost = FaultCost()
        self.hung: dict[UnitId, tuple[SimulatedRun, float]] = {}
        turns = self.faulty.turns()
        begun = {worker_id: at for at, worker_id, _ in reversed(turns)}
        self.cost.faulty_seconds = sum(FAULTY_UNTIL - at for at in begun.values())
        self.random = random
        if plan.health_checks:
            for worker_id in self.reports:
                self.answers[worker_id] = (HealthAnswer.HEALTHY, self.now)
        for at, worker_id, active in turns:
            self._later(at, partial(self._turn, worker_id, active))

    def percent(self, unit: Unit) -> int:
        """Return the completed share of a unit's run; a run that hangs shows 1%."""
        hung = self.hung.get(unit.unit_id)
        if hung is None or self.runs.get(unit.unit_id) is not hung[0]:
            return super().percent(unit)
        now, self.now = self.now, hung[1]
        percent = super().percent(unit)
        self.now = now
        return max(percent, 1)

    def is_idle(self, unit: Unit) -> bool:
        """Return whether a unit's run uses no cpu, as workers list it."""
        return unit.unit_id in self.hung

    def _turn(self, worker_id: str, active: bool) -> None:
        """Begin or end the fault of a worker, with all that runs there."""
        if active:
            self.faulty.affected.add(worker_id)
        else:
            self.faulty.affected.discard(worker_id)
        if self.faulty.kind is FaultKind.RESTART:
            if active:
                self.unreachable.add(worker_id)
            else:
                self.unreachable.discard(worker_id)
                self.incarnations[worker_id] = self.incarnations.get(worker_id, 1) + 1
        for unit in self.state.units_on(worker_id):
            run = self.runs.get(unit.unit_id)
            if run is None or run.run != unit.run:
                continue
            if active:
                self._apply_fault(unit, run, worker_id)
            else:
                self._resume(unit, run)
        self._later(self.now + REPORT_DELAY, lambda: self.report(worker_id))
        delay = self.random.uniform(0, CHECK_INTERVAL)
        self._later(self.now + delay, partial(self._check, worker_id))

    def _check(self, worker_id: str) -> None:
        """Make a health check, and report its answer if it changed."""
        answer = self.faulty.answer(worker_id)
        if worker_id not in self.answers or self.answers[worker_id][0] is answer:
            return
        self.answers[worker_id] = (answer, self.now)
        self.answer_changes[worker_id] += 1
        self._later(self.now + REPORT_DELAY, lambda: self.report(worker_id))

    def _start(self, unit: Unit) -> None:
        super()._start(unit)
        self.hung.pop(unit.unit_id, None)
        for worker_id in self._affected_workers(unit):
            self._apply_fault(unit, self.runs[unit.unit_id], worker_id)

    def _affected_workers(self, unit: Unit) -> list[str]:
        ids = {one.worker_ref.worker_id for one in unit.members if not one.ended}
        return sorted(ids & self.faulty.affected)

    def _apply_fault(self, unit: Unit, run: SimulatedRun, worker_id: str) -> None:
        """Let a run hang or fail on a worker with an active fault."""
        kind = self.faulty.kind
        started = run.started_at <= self.now
        if kind is FaultKind.FALSE_ALARM or (kind in REFUSING and started):
            return
        if kind in HANGING:
            self.hung.setdefault(unit.unit_id, (run, max(self.now, run.started_at)))
            return
        at = max(self.now, run.started_at) + FAILURE_TIME
        self._later(at, lambda: self._fail(unit, run, worker_id))

    def _resume(self, unit: Unit, run: SimulatedRun) -> None:
        hung = self.hung.get(unit.unit_id)
        if hung is None or hung[0] is not run or self._affected_workers(unit):
            return
        del self.hung[unit.unit_id]
        run.started_at += self.now - hung[1]
        end = run.started_at + run.work_left * run.slowness + REPORT_DELAY
        self._later(end, lambda: self._finish(unit, run, EndKind.DONE))

    def _fail(self, unit: Unit, run: SimulatedRun, worker_id: str) -> None:
        if self.runs.get(unit.unit_id) is not run or unit.state in ENDED_STATES:
            return
        if run.stopping or not any(
            one.worker_ref.worker_id == worker_id and not one.ended
            for one in unit.members
        ):
            return
        del self.runs[unit.unit_id]
        self._count_failure(unit, run)
        self.end(unit, self.faulty.end_kind, worker_id)

    def _finish(self, unit: Unit, run: SimulatedRun, kind: EndKind) -> None:
        hung = self.hung.get(unit.unit_id)
        if hung is not None and hung[0] is run:
            if kind is EndKind.DONE:
                return
            if self.runs.get(unit.unit_id) is run and unit.state not in ENDED_STATES:
                self._count_failure(unit, run)
            del self.hung[unit.unit_id]
        super()._finish(unit, run, kind)

    def _count_failure(self, unit: Unit, run: SimulatedRun) -> None:
        self.cost.failed += 1
        self.cost.broken += unit.size > 1
        worked = max(self.now - run.started_at, 0.0)
        if not unit.step.checkpointing:
            cores = unit.size * unit.step.demand.weight
            self.cost.lost_work += worked * cores


def play_faulty_load(
    workers: int,
    organisations: int,
    rate: float,
    duration: float,
    seed: int,
    rack_size: int,
    plan: FaultPlan,
) -> tuple[dict[str, QueueResult], FaultCost]:
    """Return what callers get of one load, by queue, and what faulty workers cost.

    The arguments are those of play_load; the seed also chooses the faulty workers.
    """
    racks = workers // rack_size if rack_size else 0
    jobs = generate_jobs(rate, duration, organisations, Random(seed), racks)
    experiment = FaultyFleetExperiment(
        workers, organisations, jobs, rack_size or RACK_SIZE, plan, Random(seed)
    )
    return experiment.play(duration), experiment.cost
