"""Run tasks at the worker beside the agent and report their ends."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatch

from wasabispur_core.bundles.bundle_version import ApplyBundle
from wasabispur_core.jobs.task import (
    CordonChanged,
    decide,
    RenewAtWorker,
    RunAtWorker,
    stop_all,
    StopAtWorker,
    TaskState,
)
from wasabispur_core.log_event import TASK_ENDED, TASK_STARTED
from wasabispur_core.message import event_name, Message
from wasabispur_core.protocol import (
    Leaving,
    Reason,
    TaskFinished,
    TaskStarted,
    TaskStopped,
)
from wasabispur_core.requests.permit import SendToEntryLink
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log
from wasabispur_runtime.timer_service import sleep, time_limit

from .worker_client import Answer, ErrorResponse, NoResponse, TaskView, WorkerClient
from .worker_message import (
    ClockReading,
    PollDue,
    RepeatDue,
    StartAnswered,
    StopAnswered,
    TasksRead,
    WorkerRead,
)
from .worker_report import end_report, list_report, running_tasks, stop_report

THREAD_LIMIT = 8
"""Calls to the worker in progress at once."""

POLL_INTERVAL = 0.5
"""Seconds between two reads of the worker's tasks."""

DRAIN_TIMEOUT = 10.0
"""Seconds that a planned stop waits for the worker to stop its tasks."""


class WorkerRunner(DecisionActor):
    """Execute the decisions on tasks at the worker, on a bounded number of threads."""

    def __init__(
        self, timers: TimerService, state: TaskState, client: WorkerClient
    ) -> None:
        super().__init__("worker-runner", timers, state, decide)
        self.client = client
        self.links: dict[str, Actor] = {}
        self.threads = ThreadPoolExecutor(THREAD_LIMIT, thread_name_prefix="worker")
        # Without the worker's clock, no lease can be granted.
        self.clock: ClockReading | None = None
        # The end of the lease of each start whose answer was lost. Until then the
        # worker may still execute it, whatever it answers to other calls.
        self.unanswered: dict[str, float] = {}
        # The last call for each task id. The calls for one task are made in order,
        # so that a stop can't overtake the start.
        self.last_calls: dict[str, asyncio.Task[None]] = {}
        self.drained = asyncio.Event()

    async def opened(self) -> None:
        """Request the first read of the worker's tasks."""
        self.post(PollDue())

    async def handle(self, message: Message) -> None:
        """Handle a message, and signal when a planned stop has ended all tasks."""
        await super().handle(message)
        if self.state.leaving and not self.state.tasks:
            self.drained.set()

    async def stop_previous_tasks(self) -> None:
        """Stop the tasks of an earlier agent process, and record how they ended.

        Return once no task runs.
        """
        while True:
            read = await asyncio.to_thread(self.read_tasks)
            if read is not None:
                running = running_tasks(read.views)
                if not running:
                    break
                await asyncio.to_thread(stop_tasks, self.client, running)
            await sleep(self.timers, POLL_INTERVAL)
        self.clock = read.clock
        self.on_message(list_report(read.views))

    def on_apply_bundle(self, message: ApplyBundle) -> None:
        """Obey the cordons of the bundle that came into force."""
        cordoned = message.content.is_cordoned(self.state.data_centre)
        self.on_message(CordonChanged(cordoned=cordoned))

    def read_tasks(self) -> WorkerRead | None:
        """Return the worker's tasks and clock, or None if it did not answer."""
        answer = self.client.tasks()
        if answer is None:
            return None
        clock = ClockReading(time=answer.clock, read_at=self.timers.now())
        return WorkerRead(views=answer.by_id, clock=clock)

    def on_poll_due(self, message: PollDue) -> None:
        """Read the worker's tasks on a thread."""
        tasks = self.state.tasks.items()
        polled = frozenset(
            task_id for task_id, task in tasks if task.lifecycle.state != "starting"
        )
        self.call("", lambda: TasksRead(polled=polled, read=self.read_tasks()))

    def on_tasks_read(self, message: TasksRead) -> None:
        """Report tasks that ended at the worker, and schedule the next read."""
        self.set_timer("poll", POLL_INTERVAL, PollDue())
        if message.read is None:
            return
        self.clock = message.read.clock
        views = message.read.views
        self.on_message(list_report(views))
        for task_id in list(self.state.tasks):
            view = views.get(task_id)
            if view is not None and view.ended:
                self.report(end_report(view))
            elif view is None and self.is_missing(task_id, message.polled):
                self.report(stop_report(task_id, Reason.WORKER_UNREACHABLE))

    def is_missing(self, task_id: str, polled: frozenset[str]) -> bool:
        """Return whether the worker no longer lists a task that it ran."""
        state = self.state.tasks[task_id].lifecycle.state
        ran = task_id in polled and state in ("running", "stopping")
        return ran and not self.may_start(task_id)

    def may_start(self, task_id: str) -> bool:
        """Return whether the worker may still execute an unanswered start."""
        end = self.unanswered.get(task_id)
        return end is not None and self.timers.now() < end

    def on_start_answered(self, message: StartAnswered) -> None:
        """Report a start, or repeat it while its outcome is unknown."""
        handle_start_answer(message.answer, message.command, self)

    def on_stop_answered(self, message: StopAnswered) -> None:
        """Report a task's end if the answer to a stop proves it."""
        task_id, answer = message.task_id, message.answer
        if isinstance(answer, TaskView) and answer.ended:
            self.report(end_report(answer))
            return
        unknown = isinstance(answer, ErrorResponse) and answer.status == 404
        if unknown and not self.may_start(task_id):
            self.report(stop_report(task_id, Reason.NEVER_STARTED))

    def on_repeat_due(self, message: RepeatDue) -> None:
        """Repeat a start whose answer was lost; the worker starts a task only once."""
        command = message.command
        task = self.state.tasks.get(command.reserve.task_id)
        if task is None or task.lifecycle.state != "starting":
            return
        if task.expiry > self.timers.now():
            execute(RunAtWorker(reserve=command.reserve, expiry=task.expiry), self)

    def report(self, message: TaskStarted | TaskFinished | TaskStopped) -> None:
        """Log the start or end of a task and pass it to the decision component."""
        self.unanswered.pop(message.task_id, None)
        if isinstance(message, TaskStarted):
            log(TASK_STARTED, task=message.task_id)
        else:
            log(TASK_ENDED, task=message.task_id, result=event_name(message))
        self.on_message(message)

    def call(self, task_id: str, function: Callable[[], Message | None]) -> None:
        """Call the worker on a thread after the earlier calls for the task."""
        previous = self.last_calls.get(task_id)
        loop = asyncio.get_running_loop()
        call = loop.create_task(self._call(previous, function))
        self.last_calls[task_id] = call
        call.add_done_callback(lambda done: self._remove_call(task_id, done))

    async def _call(
        self,
        previous: asyncio.Task[None] | None,
        function: Callable[[], Message | None],
    ) -> None:
        if previous is not None:
            await asyncio.wait([previous])
        loop = asyncio.get_running_loop()
        message = await loop.run_in_executor(self.threads, function)
        if message is not None:
            self.post(message)

    def _remove_call(self, task_id: str, call: asyncio.Task[None]) -> None:
        if self.last_calls.get(task_id) is call:
            del self.last_calls[task_id]

    async def drain(self) -> None:
        """Accept no more tasks, notify the entries, and stop the running tasks."""
        self.state.leaving = True
        for address, link in self.links.items():
            link.post(SendToEntryLink(entry_id=address, message=Leaving()))
        for command in stop_all(self.state, self.timers.now()):
            execute(command, self)
        if not self.state.tasks:
            return
        with contextlib.suppress(TimeoutError):
            async with time_limit(self.timers, DRAIN_TIMEOUT):
                await self.drained.wait()

    async def closed(self) -> None:
        """Stop the threads."""
        self.threads.shutdown(wait=False, cancel_futures=True)


@execute.register
def _(command: RunAtWorker, actor: WorkerRunner) -> None:
    reserve, clock = command.reserve, actor.clock
    if clock is None:
        actor.report(stop_report(reserve.task_id, Reason.WORKER_UNREACHABLE))
        return
    lease_end = clock.lease_end(command.expiry)

    def start() -> Message:
        lease = command.expiry - actor.timers.now()
        answer = actor.client.start(reserve, lease, lease_end)
        return StartAnswered(command=command, answer=answer)

    actor.call(reserve.task_id, start)


@execute.register
def _(command: RenewAtWorker, actor: WorkerRunner) -> None:
    if actor.clock is None:
        return
    lease_end = actor.clock.lease_end(command.expiry)

    def renew() -> None:
        lease = command.expiry - actor.timers.now()
        if lease > 0:
            actor.client.renew(command.task_id, lease, lease_end)

    actor.call(command.task_id, renew)


@execute.register
def _(command: StopAtWorker, actor: WorkerRunner) -> None:
    def stop() -> Message:
        if command.checkpoint:
            actor.client.checkpoint(command.task_id)
        answer = actor.client.stop(command.task_id)
        return StopAnswered(task_id=command.task_id, answer=answer)

    actor.call(command.task_id, stop)


@singledispatch
def handle_start_answer(
    answer: Answer, command: RunAtWorker, runner: WorkerRunner
) -> None:
    """Report or repeat a start, depending on the worker's answer to it."""
    raise TypeError(
        f"{type(answer).__name__} is no answer to a start; "
        "register a function for it with handle_start_answer.register"
    )


@handle_start_answer.register
def _(answer: TaskView, command: RunAtWorker, runner: WorkerRunner) -> None:
    runner.report(TaskStarted(task_id=command.reserve.task_id, gang_epoch=0))
    if answer.ended:
        runner.report(end_report(answer))


@handle_start_answer.register
def _(answer: ErrorResponse, command: RunAtWorker, runner: WorkerRunner) -> None:
    report_refusal(command, Reason.NO_CAPACITY, runner)


@handle_start_answer.register
def _(answer: NoResponse, command: RunAtWorker, runner: WorkerRunner) -> None:
    if answer.sent:
        task_id = command.reserve.task_id
        known = runner.unanswered.get(task_id, command.expiry)
        runner.unanswered[task_id] = max(known, command.expiry)
        repeat_start(command, runner)
        return
    report_refusal(command, Reason.WORKER_UNREACHABLE, runner)


def report_refusal(command: RunAtWorker, reason: Reason, runner: WorkerRunner) -> None:
    """Report a start without effect, or repeat it while an earlier one may have one."""
    if runner.may_start(command.reserve.task_id):
        repeat_start(command, runner)
        return
    runner.report(stop_report(command.reserve.task_id, reason))


def repeat_start(command: RunAtWorker, runner: WorkerRunner) -> None:
    """Repeat a start after a delay, which bounds the calls to a failing worker."""
    timer_id = f"repeat:{command.reserve.task_id}"
    runner.set_timer(timer_id, POLL_INTERVAL, RepeatDue(command=command))


def stop_tasks(client: WorkerClient, task_ids: tuple[str, ...]) -> None:
    """Ask the worker to stop some tasks."""
    for task_id in task_ids:
        client.stop(task_id)
