"""Define the actions and guards of the ordered_run state chart.

The runner of an agent follows each run that the shard's owner orders on a worker beside
the agent. The chart decides when the worker is called to start or stop the run.
"""

from __future__ import annotations

from math import inf
from typing import Any

from ...action import Action, Guard, holds, perform
from ...chart import Chart, ChartCatalogue
from ...command import Command, SetTimer, WriteLog
from ...log_event import RUN_ORDERED, RUN_REFUSED, RUN_STOP_ORDERED
from ..policies.cordon import CORDONED
from ..workers.worker import WorkerState
from .lease_clock import lease_end
from .runner_message import (
    ListRuns,
    RunRetryDue,
    StartAccepted,
    StartRejected,
    StartRun,
    StartUnanswered,
    StopAccepted,
    StopRun,
)
from .runner_state import LeaseTimes, LocalWorker, OrderedRun, ReportState, RunMissing

RETRY_DELAY = 0.1
RETRY_DELAY_LIMIT = 1.0
"""Bounds in seconds of the delay before an unanswered call is retried."""

LATE_START_LIMIT = 30.0
"""Seconds within which a start call without an answer may still be carried out."""

LEAVING = "leaving"
UNREACHABLE = "unreachable"
FORMER_ORDERS = "ordered before a silence of the agent"


class RunContext:
    """Provide a run's actions with its worker, the worker's report and lease times.

    cordoned is set if nothing may be started at the worker.
    """

    __slots__ = ("cordoned", "report", "times", "worker")

    def __init__(
        self,
        worker: LocalWorker,
        report: ReportState,
        times: LeaseTimes,
        cordoned: bool = False,
    ) -> None:
        self.worker = worker
        self.report = report
        self.times = times
        self.cordoned = cordoned

    @property
    def orders_current(self) -> bool:
        """Return whether the owner ordered after a report of the present session.

        Orders of a former session may name runs that the owner has taken for lost
        since, and has begun elsewhere.
        """
        orders = self.worker.orders
        return orders is not None and orders.session in ("", self.report.session)


PROMPT_CRASH_TIME = 0.2
"""Seconds after a start within which the worker's crash shows that it was carried out.

A worker answers a start at once, so that one without an answer for longer is late.
"""


class RunAction(Action[RunContext, OrderedRun]):
    """Define the base of the actions in the ordered_run chart."""

    __slots__ = ()


class RunGuard(Guard[RunContext, OrderedRun]):
    """Define the base of the guards in the ordered_run chart."""

    __slots__ = ()


class SendStart(RunAction):
    """Call the worker to start the run."""

    __slots__ = ()


class SendStop(RunAction):
    """Call the worker to stop the run and to refuse any later start of it."""

    __slots__ = ()


class RecordAnswer(RunAction):
    """Record that the worker answered the only start call; none is under way."""

    __slots__ = ()


class RecordRejection(RunAction):
    """Record why the worker did not start the run."""

    __slots__ = ()


class RecordNotReady(RunAction):
    """Record that the run was refused because its worker gets no run now."""

    __slots__ = ()


class RecordStopAccepted(RunAction):
    """Record since when the run can't start any more."""

    __slots__ = ()


class RequestList(RunAction):
    """Request the worker's lists of runs at once."""

    __slots__ = ()


class RecordLostStart(RunAction):
    """Record what the loss of a start's answer shows about its effect."""

    __slots__ = ()


class ScheduleRetry(RunAction):
    """Retry the call after a delay that doubles with each retry."""

    __slots__ = ()


class WorkerReady(RunGuard):
    """Hold if the worker is reachable and accepts runs, and the orders are current.

    No run may be started in a cordoned data centre, also not by a retry.
    """

    __slots__ = ()


class RequestedAfterStop(RunGuard):
    """Hold if the lists were requested after the worker had accepted the stop."""

    __slots__ = ()


def ordered_run_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the ordered_run chart bound to its actions and guards."""
    return catalogue.bind(
        "ordered_run",
        actions=RunAction.__subclasses__(),
        guards=RunGuard.__subclasses__(),
    )


@holds.register
def _(guard: WorkerReady) -> bool:
    context = guard.state
    ready = context.worker.state is WorkerState.READY and not context.cordoned
    return ready and context.orders_current


@holds.register
def _(guard: RequestedAfterStop) -> bool:
    message = guard.message
    return (
        isinstance(message, RunMissing)
        and message.requested_at > guard.subject.stop_accepted_at
    )


@perform.register
def _(action: SendStart) -> list[Command]:
    context, run = action.state, action.subject
    worker = context.worker
    run.start_calls += 1
    worker.started = recent_starts(worker, action.now) | {run.key: action.now}
    end = lease_end(worker, context.report, context.times, action.now)
    start = StartRun(
        worker_id=worker.info.worker_id,
        incarnation=worker.info.incarnation,
        address=worker.info.address,
        epoch=worker.epoch,
        task=run.order.task,
        run=run.order.run,
        payload=run.payload,
        checkpoint=run.order.checkpoint,
        lease_end=end,
    )
    log = WriteLog(
        number=RUN_ORDERED.number,
        fields=_fields(worker, run)
        | {"epoch": worker.epoch, "lease": round(end, 3), "retries": run.retries},
    )
    return [log, start]


@perform.register
def _(action: SendStop) -> list[Command]:
    worker, run = action.state.worker, action.subject
    stop = StopRun(
        worker_id=worker.info.worker_id,
        incarnation=worker.info.incarnation,
        address=worker.info.address,
        epoch=worker.epoch,
        task=run.order.task,
        run=run.order.run,
    )
    fields = _fields(worker, run) | {"reason": run.refusal_reason or "ordered"}
    return [WriteLog(number=RUN_STOP_ORDERED.number, fields=fields), stop]


@perform.register
def _(action: RecordAnswer) -> list[Command]:
    run = action.subject
    run.begun |= isinstance(action.message, StartAccepted)
    if run.start_calls == 1:
        action.state.worker.started.pop(run.key, None)
    return []


@perform.register
def _(action: RecordRejection) -> list[Command]:
    worker, run, message = action.state.worker, action.subject, action.message
    if isinstance(message, StartRejected):
        run.refusal_reason = message.reason
    fields = _fields(worker, run) | {"reason": run.refusal_reason}
    return [WriteLog(number=RUN_REFUSED.number, fields=fields)]


@perform.register
def _(action: RecordNotReady) -> list[Command]:
    worker, run = action.state.worker, action.subject
    run.refusal_reason = LEAVING
    if worker.state is WorkerState.UNREACHABLE:
        run.refusal_reason = UNREACHABLE
    elif worker.state is WorkerState.READY:
        cordoned = action.state.cordoned
        run.refusal_reason = CORDONED if cordoned else FORMER_ORDERS
    fields = _fields(worker, run) | {"reason": run.refusal_reason}
    return [WriteLog(number=RUN_REFUSED.number, fields=fields)]


@perform.register
def _(action: RecordStopAccepted) -> list[Command]:
    if isinstance(action.message, StopAccepted):
        action.subject.stop_accepted_at = action.now
    return []


@perform.register
def _(action: RequestList) -> list[Command]:
    return [list_runs_command(action.state, 0.0, action.now)]


@perform.register
def _(action: RecordLostStart) -> list[Command]:
    run, message = action.subject, action.message
    if not isinstance(message, StartUnanswered):
        return []
    if not message.sent:
        run.start_calls -= 1
    elif not message.timed_out:
        # A task that crashes its worker breaks the connection, and does so soon.
        sent_at = action.state.worker.started.get(run.key, -inf)
        run.begun |= is_prompt(message, sent_at, action.now)
        run.may_have_begun = True
    return []


@perform.register
def _(action: ScheduleRetry) -> list[Command]:
    worker, run = action.state.worker, action.subject
    delay = min(RETRY_DELAY * 2**run.retries, RETRY_DELAY_LIMIT)
    run.retries += 1
    due = RunRetryDue(
        worker_id=worker.info.worker_id, task=run.order.task, run=run.order.run
    )
    timer_id = f"run:{run.order.task}:{run.order.run}"
    return [SetTimer(timer_id=timer_id, delay=delay, message=due)]


def is_prompt(message: StartUnanswered, sent_at: float, now: float) -> bool:
    """Return whether a start call broke so soon that its task crashed the worker.

    The time that the call itself took counts, as its result may wait for a busy agent.
    """
    elapsed = now - sent_at if message.elapsed is None else message.elapsed
    return elapsed <= PROMPT_CRASH_TIME


def recent_starts(worker: LocalWorker, now: float) -> dict[tuple[str, int], float]:
    """Return the times of the start calls that may still be carried out."""
    return {
        key: at for key, at in worker.started.items() if now - at <= LATE_START_LIMIT
    }


def list_runs_command(
    context: RunContext, wait: float, now: float, recurring: bool = False
) -> Command:
    """Return the call that requests the worker's lists and extends its lease.

    The worker delays its answer by up to wait seconds until a run ends. Ends are
    acknowledged only to the incarnation that listed them, whose clock is known then.
    """
    worker = context.worker
    orders = worker.orders if worker.clock is not None else None
    return ListRuns(
        worker_id=worker.info.worker_id,
        incarnation=worker.info.incarnation,
        address=worker.info.address,
        epoch=worker.epoch,
        acknowledged=orders.acknowledged if orders else 0,
        wait=wait,
        lease_end=lease_end(worker, context.report, context.times, now),
        recurring=recurring,
    )


def _fields(worker: LocalWorker, run: OrderedRun) -> dict[str, Any]:
    return {
        "task": run.order.task,
        "run": run.order.run,
        "worker": worker.info.worker_id,
        "incarnation": worker.info.incarnation,
    }
