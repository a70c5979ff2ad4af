"""Simulate entries, agents, workers, links and the table service in one process."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count

from wasabispur.job_rows import read_jobs
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import (
    CancelTimer,
    ReadRows,
    SendToAgent,
    SetTimer,
    Transact,
    WriteLog,
)
from wasabispur_core.jobs.fleet import Worker, WorkerAttached, WorkerDetached
from wasabispur_core.jobs.guarantee import Adjacency, Guarantee, GuaranteedShape
from wasabispur_core.jobs.job_placement import PolicyChanged
from wasabispur_core.jobs.job_record import (
    cancel_key,
    ended_key,
    job_key,
    JobRecord,
    JobSpec,
    to_value,
)
from wasabispur_core.jobs.job_shard import new_shard
from wasabispur_core.jobs.task import (
    CordonChanged,
    decide as decide_task,
    former_lease_end,
    RenewAtWorker,
    RunAtWorker,
    StopAtWorker,
    TasksListed,
    TaskState,
)
from wasabispur_core.jobs.task_action import task_chart
from wasabispur_core.log_event import SCHEDULER_FAILED
from wasabispur_core.membership.member import FromAgent
from wasabispur_core.protocol import (
    Heartbeat,
    Reason,
    TaskFinished,
    TaskReserved,
    TaskStarted,
    TaskStopped,
    Welcome,
)
from wasabispur_core.requests.permit import FromEntry, SendToEntryLink
from wasabispur_core.sharding.shard import decide as decide_shard, ShardTick
from wasabispur_core.storage.store import (
    Committed,
    Conflicted,
    Row,
    RowsRead,
    RowsUnavailable,
    StoreUnavailable,
)

SHARD = "dc1"
CATALOGUE = ChartCatalogue()
LINK_TIMEOUT = 3.0
"""Seconds after which both ends give up a blocked link."""


def guarantee(
    organisation: str, blocks: int, block_size: int, adjacency: Adjacency
) -> Guarantee:
    shape = GuaranteedShape(
        name=f"{blocks}x{block_size}",
        data_centre=SHARD,
        blocks=blocks,
        block_size=block_size,
        adjacency=adjacency,
    )
    return Guarantee(organisation=organisation, shape=shape)


@dataclass(eq=False)
class Process:
    """Represent a simulated process whose clock has an offset and a rate."""

    name: str
    offset: float = 0.0
    rate: float = 1.0
    alive: bool = True
    paused: bool = False
    inbox: list = field(default_factory=list)
    timers: dict = field(default_factory=dict)


@dataclass(eq=False)
class Entry(Process):
    shard: object = None


@dataclass(eq=False)
class Agent(Process):
    """Represent an agent and its worker.

    running maps task ids to lease ends, and ended the ids of ended tasks to the reports
    of their ends. Both are the worker's and survive a restart of the agent. With
    delays_calls set, late_calls collects starts and renewals instead of executing them.
    """

    state: TaskState = None
    worker: Worker = None
    running: dict = field(default_factory=dict)
    ended: dict = field(default_factory=dict)
    ignores_stops: bool = False
    delays_calls: bool = False
    late_calls: list = field(default_factory=list)


class World:
    """Run the product's decision code and check the invariants after each message."""

    def __init__(
        self,
        agents: int = 3,
        entries: int = 2,
        accelerators: int = 4,
        guarantees: tuple = (),
    ):
        self.guarantees = guarantees
        self.now = 0.0
        self.ids = count(1)
        self.queue: deque = deque()
        self.rows: dict[str, Row] = {}
        self.store_cut: set[str] = set()
        self.fails_job_reads = False
        self.lose_answers = 0
        self.delay_writes = 0
        self.late_writes: list = []
        self.blocked: dict[tuple[str, str], float] = {}
        self.attached: set[tuple[str, str]] = set()
        self.held: list = []
        self.recent: deque = deque(maxlen=30)
        self.accepted: dict[str, JobSpec] = {}
        self.reserved: set[str] = set()
        self.started: list[str] = []
        self.confirmed_ended: set[str] = set()
        self.logged: list = []
        self.entries = {f"e{i}": Entry(f"e{i}") for i in range(entries)}
        self.agents: dict[str, Agent] = {}
        for i in range(agents):
            self.add_agent(i, accelerators)
        for entry in self.entries.values():
            self.boot_entry(entry)
        for entry in self.entries:
            for agent in self.agents:
                self.attach(entry, agent)
        self.run()

    def add_agent(self, i: int, accelerators: int) -> None:
        worker = Worker(
            worker_id=f"w{i}",
            region="r",
            data_centre=SHARD,
            rack=f"rack{i // 2}",
            accelerators=accelerators,
            cores=4,
        )
        agent = Agent(worker.worker_id, 1000.0 * i, (0.99, 1.0, 1.01)[i % 3])
        agent.worker = worker
        self.agents[agent.name] = agent
        self.boot_agent(agent)

    # Processes

    def boot_entry(self, entry: Entry) -> None:
        entry.shard = new_shard(
            entry.name, SHARD, CATALOGUE, lambda: f"op{next(self.ids)}"
        )
        entry.alive, entry.paused, entry.inbox, entry.timers = True, False, [], {}
        self.post(entry, PolicyChanged(guarantees=self.guarantees))
        self.post(entry, ShardTick())

    def boot_agent(self, agent: Agent) -> None:
        # A restarted agent stops all tasks of its worker before it attaches.
        for task_id in list(agent.running):
            self.end_at_worker(agent, task_id, Reason.CANCELLED)
        chart = task_chart(CATALOGUE)
        agent.state = TaskState(
            SHARD,
            agent.worker.accelerators,
            chart,
            former_lease_end=former_lease_end(self.local(agent)),
        )
        agent.alive, agent.paused, agent.inbox, agent.timers = True, False, [], {}
        self.list_tasks(agent)

    def kill_entry(self, name: str) -> None:
        self.entries[name].alive = False
        for agent in self.agents:
            self.detach(name, agent)

    def restart_entry(self, name: str) -> None:
        self.boot_entry(self.entries[name])
        for agent in self.agents:
            self.attach(name, agent)
        self.run()

    def kill_agent(self, name: str, machine: bool = False) -> None:
        """Kill an agent; if its machine fails too, the running tasks end."""
        agent = self.agents[name]
        agent.alive = False
        if machine:
            agent.running.clear()
            agent.ended.clear()
            agent.late_calls.clear()
        for entry in self.entries:
            self.detach(entry, name)
        self.run()

    def restart_agent(self, name: str) -> None:
        self.boot_agent(self.agents[name])
        for entry in self.entries:
            self.attach(entry, name)
        self.run()

    def pause(self, process: Process) -> None:
        process.paused = True

    def resume(self, process: Process) -> None:
        process.paused = False
        waiting, process.inbox = process.inbox, []
        for message in waiting:
            self.post(process, message)
        self.run()

    def cordon(self, cordoned: bool, processes: Iterable[Process]) -> None:
        """Put a bundle with or without a cordon into force in some processes."""
        for process in processes:
            message: object = CordonChanged(cordoned=cordoned)
            if isinstance(process, Entry):
                message = PolicyChanged(guarantees=self.guarantees, cordoned=cordoned)
            self.post(process, message)
        self.run()

    # Links

    def attach(self, entry: str, agent: str) -> None:
        e, a = self.entries[entry], self.agents[agent]
        if (entry, agent) in self.blocked or not (e.alive and a.alive):
            return
        self.attached.add((entry, agent))
        self.post(e, WorkerAttached(worker=a.worker, clock=self.local(a)))
        welcome = Welcome(entry_id=entry, heartbeat_interval=1.0)
        self.post(a, FromEntry(entry_id=entry, message=welcome))

    def detach(self, entry: str, agent: str) -> None:
        if (entry, agent) in self.attached:
            self.attached.discard((entry, agent))
            self.post(self.entries[entry], WorkerDetached(worker_id=agent))

    def block(self, entry: str, agent: str) -> None:
        self.blocked.setdefault((entry, agent), self.now)

    def unblock(self, entry: str, agent: str) -> None:
        if self.blocked.pop((entry, agent), None) is not None:
            self.detach(entry, agent)
            self.attach(entry, agent)
            self.run()

    def send_over_link(
        self, entry: str, agent: str, target: Process, message: object
    ) -> None:
        """Deliver a message between processes, or hold it if the link is blocked."""
        if (entry, agent) in self.blocked:
            self.held.append((target, message))
        elif (entry, agent) in self.attached:
            self.recent.append((target, message))
            self.post(target, message)

    # Time and messages

    def local(self, process: Process) -> float:
        return process.offset + self.now * process.rate

    def post(self, target: Process, message: object) -> None:
        if not target.alive:
            return
        if target.paused:
            target.inbox.append(message)
            return
        self.queue.append((target, message))

    def run(self) -> None:
        while self.queue:
            target, message = self.queue.popleft()
            if target.paused:
                target.inbox.append(message)
            elif target.alive:
                self.handle(target, message)
            self.check()

    def handle(self, target: Process, message: object) -> None:
        now = self.local(target)
        if isinstance(target, Entry):
            self.record_received(message)
            commands = decide_shard(message, target.shard, now)
        else:
            commands = decide_task(message, target.state, now)
        for command in commands:
            self.execute(command, target)

    def advance(self, seconds: float, step: float = 0.5) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(self.now + step, end)
            self.send_heartbeats()
            self.end_silent_links()
            self.fire_timers()
            self.expire_worker_leases()
            for agent in self.agents.values():
                self.list_tasks(agent)
            self.run()

    def list_tasks(self, agent: Agent) -> None:
        """Deliver the worker's list of tasks to its agent."""
        listed = TasksListed(
            running=tuple(agent.running), ended=tuple(agent.ended.values())
        )
        self.post(agent, listed)
        # A task that the worker doesn't list has ended, unless its start is delayed.
        for task_id, task in agent.state.tasks.items():
            missing = task_id not in agent.running and task_id not in agent.ended
            gone = missing and not self.may_start(agent, task_id)
            if gone and task.lifecycle.state == "stopping":
                self.end_at_worker(agent, task_id, Reason.WORKER_UNREACHABLE)

    def may_start(self, agent: Agent, task_id: str) -> bool:
        """Return whether the worker may still execute a delayed start of a task."""
        return any(
            isinstance(call, RunAtWorker)
            and call.reserve.task_id == task_id
            and self.local(agent) < call.expiry
            for call in agent.late_calls
        )

    def send_heartbeats(self) -> None:
        for entry, agent in sorted(self.attached):
            a = self.agents[agent]
            if a.paused or (entry, agent) in self.blocked:
                continue
            heartbeat = Heartbeat(sequence=1, bundle_version=0, clock=self.local(a))
            self.post(self.entries[entry], FromAgent(agent_id=agent, message=heartbeat))

    def end_silent_links(self) -> None:
        for (entry, agent), since in self.blocked.items():
            if self.now - since >= LINK_TIMEOUT:
                self.detach(entry, agent)

    def fire_timers(self) -> None:
        for process in [*self.entries.values(), *self.agents.values()]:
            if not process.alive or process.paused:
                continue
            now = self.local(process)
            due = [key for key, (at, _) in process.timers.items() if at <= now]
            for key in sorted(due, key=lambda key: process.timers[key][0]):
                self.post(process, process.timers.pop(key)[1])
            self.run()

    def expire_worker_leases(self) -> None:
        for agent in self.agents.values():
            for task_id, end in list(agent.running.items()):
                if end <= self.local(agent):
                    self.end_at_worker(agent, task_id, Reason.LEASE_EXPIRED)

    # Commands

    def execute(self, command: object, source: Process) -> None:
        match command:
            case SetTimer():
                due = self.local(source) + command.delay
                source.timers[command.timer_id] = (due, command.message)
            case CancelTimer():
                source.timers.pop(command.timer_id, None)
            case SendToAgent():
                agent = self.agents[command.agent_id]
                wrapped = FromEntry(entry_id=source.name, message=command.message)
                self.send_over_link(source.name, agent.name, agent, wrapped)
            case SendToEntryLink():
                self.record_sent(command.message)
                if command.entry_id in self.entries:
                    entry = self.entries[command.entry_id]
                    wrapped = FromAgent(agent_id=source.name, message=command.message)
                    self.send_over_link(entry.name, source.name, entry, wrapped)
            case WriteLog():
                assert command.number != SCHEDULER_FAILED.number, command.fields
                self.logged.append(command)
            case Transact():
                self.post(source, self.transact(command.transaction, source))
            case ReadRows() if self.fails_job_reads and command.prefix.startswith(
                "job/"
            ):
                # The entry's scheduler passes over a failed read of the jobs.
                pass
            case ReadRows():
                self.post(source, self.read(command, source))
            case RunAtWorker() | RenewAtWorker() if source.delays_calls:
                source.late_calls.append(command)
            case RunAtWorker():
                self.run_at_worker(command, source)
            case RenewAtWorker():
                if command.task_id in source.running:
                    source.running[command.task_id] = command.expiry
            case StopAtWorker():
                if not source.ignores_stops and not self.may_start(
                    source, command.task_id
                ):
                    saved = f"saved {command.task_id}" if command.checkpoint else ""
                    self.end_at_worker(source, command.task_id, Reason.CANCELLED, saved)
            case _:
                raise AssertionError(f"unknown command {command}")

    def execute_late_calls(self, agent: Agent) -> None:
        """Execute the delayed calls at the worker, whatever became of their agent."""
        agent.delays_calls = False
        calls, agent.late_calls = agent.late_calls, []
        for call in calls:
            self.execute(call, agent)
        self.run()

    def record_sent(self, message: object) -> None:
        if isinstance(message, TaskReserved):
            self.reserved.add(message.task_id)

    def record_received(self, message: object) -> None:
        content = getattr(message, "message", None)
        if isinstance(content, TaskStopped | TaskFinished):
            self.confirmed_ended.add(content.task_id)

    def end_at_worker(
        self, agent: Agent, task_id: str, reason: Reason, saved: str = ""
    ) -> None:
        stopped = TaskStopped(
            task_id=task_id, gang_epoch=0, reason=reason, checkpoint=saved
        )
        if agent.running.pop(task_id, None) is not None:
            agent.ended[task_id] = stopped
        self.post(agent, stopped)

    def run_at_worker(self, command: RunAtWorker, agent: Agent) -> None:
        reserve = command.reserve
        if reserve.task_id in self.started or self.local(agent) >= command.expiry:
            return
        self.check_start(reserve, agent)
        self.started.append(reserve.task_id)
        agent.running[reserve.task_id] = command.expiry
        started = TaskStarted(task_id=reserve.task_id, gang_epoch=0)
        self.post(agent, started)

    def finish(self, agent: Agent, task_id: str, succeeded: bool = True) -> None:
        del agent.running[task_id]
        finished = agent.ended[task_id] = TaskFinished(
            task_id=task_id, gang_epoch=0, succeeded=succeeded, result="done"
        )
        self.post(agent, finished)
        self.run()

    # Table service

    def transact(self, transaction: object, source: Process) -> object:
        operation_id = transaction.operation_id
        failed = StoreUnavailable(
            operation_id=operation_id, reason="outage", uncertain=True
        )
        if source.name in self.store_cut:
            return failed
        if self.delay_writes:
            self.delay_writes -= 1
            self.late_writes.append(transaction)
            return failed
        result = self.apply(transaction)
        if self.lose_answers:
            self.lose_answers -= 1
            return failed
        return result

    def apply(self, transaction: object) -> object:
        wrong = [
            condition.key
            for condition in transaction.conditions
            if self.version(condition.key) != condition.version
        ]
        if wrong:
            return Conflicted(operation_id=transaction.operation_id, keys=tuple(wrong))
        versions = {}
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            versions[write.key] = next(self.ids)
            self.rows[write.key] = Row(
                key=write.key,
                version=versions[write.key],
                operation_id=transaction.operation_id,
                value=write.value,
            )
        return Committed(operation_id=transaction.operation_id, versions=versions)

    def version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else 0

    def read(self, command: ReadRows, source: Process) -> object:
        if source.name in self.store_cut:
            return RowsUnavailable(read_id=command.read_id, reason="outage")
        rows = [r for k, r in sorted(self.rows.items()) if k.startswith(command.prefix)]
        read = RowsRead(read_id=command.read_id, rows=tuple(rows))
        if command.prefix.startswith("job/"):
            return read_jobs(read, SHARD)
        return read

    # Callers

    def submit(self, **fields: object) -> str:
        job_id = f"j{next(self.ids)}"
        fields = {"organisation": "peachtree", "work_class": "urgent"} | fields
        spec = JobSpec(command="{}", **fields)
        record = JobRecord(
            job_id=job_id, shard=SHARD, spec=spec, sequence=next(self.ids)
        )
        key = job_key(SHARD, job_id)
        self.rows[key] = Row(
            key=key,
            version=next(self.ids),
            operation_id="submit",
            value=to_value(record),
        )
        self.accepted[job_id] = spec
        self.last_job = job_id
        return job_id

    def cancel(self, job_id: str) -> None:
        if job_key(SHARD, job_id) in self.rows:
            key = cancel_key(SHARD, job_id)
            self.rows[key] = Row(
                key=key, version=next(self.ids), operation_id="c", value={}
            )

    def ended_state(self, job_id: str) -> str:
        row = self.rows.get(ended_key(SHARD, job_id))
        return row.value["state"] if row else ""

    def is_settled(self, job_id: str) -> bool:
        row = self.rows.get(job_key(SHARD, job_id))
        return row is None or row.value["state"] == "held"

    # Invariants

    def running_tasks(self) -> list[tuple[str, int, int]]:
        """Return the job id, gang epoch and index of every task at a worker."""
        tasks = []
        for agent in self.agents.values():
            for task_id in agent.running:
                job_id, epoch, index = task_id.rsplit(".", 2)
                tasks.append((job_id, int(epoch), int(index)))
        return tasks

    def check_start(self, reserve: object, agent: Agent) -> None:
        assert not agent.state.cordoned, "cordon: an agent that has read it starts"
        job_id, epoch, _ = reserve.task_id.rsplit(".", 2)
        spec = self.accepted[job_id]
        gang = {f"{job_id}.{epoch}.{index}" for index in range(spec.tasks)}
        assert gang <= self.reserved, "gang: a task starts before all are reserved"
        live = {e for job, e, _ in self.running_tasks() if job == job_id}
        assert live <= {int(epoch)}, "single_run: two runs of a job are live"
        assert not self.ended_state(job_id), "result: an ended job runs again"
        held = {
            index
            for task_id in agent.running
            if task_id in agent.state.tasks
            for index in agent.state.tasks[task_id].reserve.accelerator_ids
        }
        assert not held & set(reserve.accelerator_ids), "accelerator: held twice"
        if spec.at_most_once:
            former = {
                task_id
                for task_id in self.started
                if task_id.startswith(f"{job_id}.")
                and task_id.rsplit(".", 2)[1] != epoch
            }
            assert former <= self.confirmed_ended, (
                "at_most_once: the end of the first run is unconfirmed"
            )

    def check(self) -> None:
        runs: dict[str, set[int]] = {}
        for job_id, epoch, _ in self.running_tasks():
            runs.setdefault(job_id, set()).add(epoch)
        assert all(len(e) == 1 for e in runs.values()), "single_run: two runs are live"
        for job_id in self.accepted:
            kept = job_key(SHARD, job_id) in self.rows or self.ended_state(job_id)
            assert kept, "job: an accepted job is lost"
        for entry in self.entries.values():
            if entry.alive:
                self.check_assignments(entry.shard.scheduler)
                self.check_guarantees(entry.shard.scheduler)

    def check_assignments(self, scheduler: object) -> None:
        assignments = [
            (member.assignment.worker_id, index)
            for job in scheduler.jobs.values()
            for member in job.members.values()
            if job.lifecycle.state == "placing" or not job.has_ended(member, self.now)
            for index in member.assignment.accelerators
        ]
        assert len(assignments) == len(set(assignments)), "accelerator: placed twice"

    def check_guarantees(self, scheduler: object) -> None:
        plan = scheduler.plan
        if scheduler.plan_stale:
            return
        missing = [p for p in plan.guarantees if p not in plan.allocations]
        assert sorted(map(repr, missing)) == sorted(map(repr, plan.lost)), (
            "guarantee: a shape is neither packed nor reported"
        )
        taken = [
            (assignment.worker_id, index)
            for assignments in plan.allocations.values()
            for assignment in assignments
            for index in assignment.accelerators
        ]
        assert len(taken) == len(set(taken)), "guarantee: two shapes overlap"
        workers = {worker for worker, _ in taken}
        assert workers <= scheduler.fleet.available, (
            "guarantee: allocation on a lost worker"
        )
        for guarantee, assignments in plan.allocations.items():
            assert len(assignments) == guarantee.shape.blocks, (
                "guarantee: too few blocks"
            )
            racks = {scheduler.fleet.workers[s.worker_id].rack for s in assignments}
            if guarantee.shape.adjacency is not Adjacency.DATA_CENTRE:
                assert len(racks) == 1, "guarantee: blocks are not adjacent"

    def clear_faults(self) -> None:
        """End all faults."""
        self.store_cut.clear()
        self.lose_answers = self.delay_writes = 0
        self.held.clear()
        for agent in self.agents.values():
            agent.ignores_stops = False
            self.execute_late_calls(agent)
        for process in [*self.entries.values(), *self.agents.values()]:
            if process.paused:
                self.resume(process)
        for pair in list(self.blocked):
            self.unblock(*pair)
        for entry in self.entries.values():
            if not entry.alive:
                self.restart_entry(entry.name)
        for agent in self.agents.values():
            if not agent.alive:
                self.restart_agent(agent.name)
        for entry in self.entries:
            for agent in self.agents:
                if (entry, agent) not in self.attached:
                    self.attach(entry, agent)
        self.run()

    def finish_all(self) -> None:
        for agent in self.agents.values():
            for task_id in list(agent.running):
                if task_id in agent.running:
                    self.finish(agent, task_id)

    def settle(self) -> None:
        """Clear all faults, and check that every accepted job ends or is held."""
        self.clear_faults()
        self.cordon(False, [*self.entries.values(), *self.agents.values()])
        for _ in range(60):
            self.advance(2.0)
            self.finish_all()
            waiting = [j for j in self.accepted if not self.is_settled(j)]
            if not waiting:
                return
        raise AssertionError(f"progress: jobs never ended: {waiting}")
