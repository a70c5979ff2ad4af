"""Drive the shard owner's scheduler without processes, for measurements."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.message import Message
from wasabispur_core.sharding.ownership import ShardAcquired
from wasabispur_core.workload.jobs.spec import Resources
from wasabispur_core.workload.jobs.unit import Unit
from wasabispur_core.workload.owner.fleet_message import TableReady
from wasabispur_core.workload.owner.fleet_state import FleetState
from wasabispur_core.workload.owner.scheduler import (
    decide,
    LOADED_TABLES,
    new_fleet_state,
)
from wasabispur_core.workload.policies.policy import (
    FleetPolicy,
    Organisation,
    PolicyChanged,
    Queue,
)
from wasabispur_core.workload.run_times.run_time_row import ESTIMATE_TABLE
from wasabispur_core.workload.workers.worker import (
    EndedRun,
    EndKind,
    HealthAnswer,
    ListedRun,
    ReportArrived,
    WorkerInfo,
    WorkerReport,
    WorkerState,
)

CAPACITY = Resources(cpu=64_000, memory=262_144, accelerators=8)
HORIZON = 13.5
"""Lease horizon in seconds; no worker is silent for as long in a measurement."""

REPORTED_ENDS = 4
"""Number of ended runs that a report repeats."""


def simulated_queue(
    name: str, priority: int, stretch: float, target: float = 0.0
) -> Queue:
    """Return a queue of the simulated configuration; target is in seconds."""
    return Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service="s",
        priority=priority,
        max_attempts=3,
        stretch=stretch,
        target=target,
    )


def rack_name(number: int) -> str:
    """Return the label of a rack."""
    return f"r1-{number}"


class SimulatedOwner:
    """Represent an owner and its fleet, driven by messages on simulated time."""

    def __init__(self, now: float, rack_size: int) -> None:
        self.now = now
        self.rack_size = rack_size
        self.state: FleetState = new_fleet_state(ChartCatalogue(), HORIZON)
        self.reports: dict[str, WorkerReport] = {}
        self.report_numbers: dict[str, int] = {}
        self.incarnations: dict[str, int] = {}
        self.unreachable: set[str] = set()
        self.answer_changes: Counter[str] = Counter()
        self.answers: dict[str, tuple[HealthAnswer, float]] = {}

    def own(
        self,
        queues: Iterable[Queue],
        organisations: Iterable[Organisation],
        workers: int,
    ) -> None:
        """Acquire the shard with a configuration and a fleet of idle workers."""
        policy = FleetPolicy(
            version=1,
            queues={queue.name: queue for queue in queues},
            organisations={one.name: one for one in organisations},
        )
        self.decide(PolicyChanged(policy=policy))
        self.decide(ShardAcquired(epoch=1))
        for table in (*LOADED_TABLES, ESTIMATE_TABLE):
            self.decide(TableReady(table=table))
        for number in range(workers):
            self.report(f"w{number:03}")

    def decide(self, message: Message) -> None:
        """Let the scheduler handle a message."""
        decide(message, self.state, self.now)

    def confirm_workers(self) -> None:
        """Count all workers as having reported now, without the cost of reports."""
        for worker in self.state.workers.values():
            worker.seen_at = self.now

    def end(self, unit: Unit, kind: EndKind, culprit: str = "") -> None:
        """Report the ends of all runs of a unit.

        If a culprit is given, the runs on other workers end as those of a broken gang.
        """
        checkpoint = "saved" if unit.step.checkpointing else ""
        for member in list(unit.members):
            if not member.ended:
                worker_id = member.worker_ref.worker_id
                task = str(unit.task_id(member.index))
                end = EndedRun(
                    number=self._next_end(worker_id),
                    task=task,
                    run=unit.run,
                    kind=kind if culprit in ("", worker_id) else EndKind.BROKEN,
                    checkpoint=checkpoint,
                )
                self.report(worker_id, end)

    def report(self, worker_id: str, ended: EndedRun | None = None) -> None:
        """Deliver a worker's next report, with one more ended run if it is given."""
        last = self.reports.get(worker_id)
        incarnation = str(self.incarnations.get(worker_id, 1))
        if last is not None and last.info.incarnation != incarnation:
            last = None
        ends = last.ended if last else ()
        if ended is not None:
            ends = (*ends[1 - REPORTED_ENDS :], ended)
        self.report_numbers[worker_id] = number = (
            self.report_numbers.get(worker_id, 0) + 1
        )
        report = self.reports[worker_id] = WorkerReport(
            agent_id=f"agent-{worker_id}",
            number=number,
            info=self._info(worker_id, number),
            listing=number,
            runs=self._listed_runs(worker_id, ended),
            ended=ends,
            health=self.answers.get(worker_id, (HealthAnswer.UNKNOWN, 0.0))[0],
            health_age=self.now - self.answers.get(worker_id, ("", self.now))[1],
            health_changes=self.answer_changes[worker_id],
        )
        self.decide(ReportArrived(report=report, version=number))

    def percent(self, unit: Unit) -> int:
        """Return the completed share of a unit's run, as workers list it."""
        return 50

    def member_percent(self, unit: Unit, worker_id: str) -> int:
        """Return the completed share of a unit's run, as a worker lists it."""
        return self.percent(unit)

    def is_idle(self, unit: Unit) -> bool:
        """Return whether a unit's run uses no cpu, as workers list it."""
        return False

    def _next_end(self, worker_id: str) -> int:
        last = self.reports.get(worker_id)
        incarnation = str(self.incarnations.get(worker_id, 1))
        if last is None or last.info.incarnation != incarnation or not last.ended:
            return 1
        return last.ended[-1].number + 1

    def _info(self, worker_id: str, sequence: int) -> WorkerInfo:
        return WorkerInfo(
            worker_id=worker_id,
            incarnation=str(self.incarnations.get(worker_id, 1)),
            service="s",
            data_centre="a1",
            address=f"{worker_id}:80",
            capacity=CAPACITY,
            labels=("a", rack_name(int(worker_id[1:]) // self.rack_size)),
            state=WorkerState.UNREACHABLE
            if worker_id in self.unreachable
            else WorkerState.READY,
            sequence=sequence,
        )

    def _listed_runs(
        self, worker_id: str, ended: EndedRun | None
    ) -> tuple[ListedRun, ...]:
        ended_task = ended.task if ended is not None else ""
        return tuple(
            ListedRun(
                task=task,
                run=unit.run,
                percent=self.member_percent(unit, worker_id),
                idle=self.is_idle(unit),
            )
            for unit in self.state.units_on(worker_id)
            for member in unit.members
            if member.worker_ref.worker_id == worker_id and not member.ended
            if (task := str(unit.task_id(member.index))) != ended_task
        )
