"""Define what the ordered_run chart does."""

from __future__ import annotations

from typing import Any

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import Command, SetTimer, WriteLog
from ..log_event import RUN_ORDERED, RUN_REFUSED, RUN_STOP_ORDERED
from .lease_clock import lease_end
from .runner_message import (
    CallList,
    CallStart,
    CallStop,
    RunDue,
    StartRejected,
    StopAccepted,
)
from .seat_state import LeaseTimes, OrderedRun, ReportState, RunMissing, Seat
from .worker import WorkerState

RETRY_DELAY = 0.1
RETRY_DELAY_LIMIT = 1.0
"""Bounds in seconds of the delay before an unanswered call is repeated."""

LEAVING = "leaving"


class RunScope:
    """Hold what the actions of a run may look at: its seat, report and times."""

    __slots__ = ("report", "seat", "times")

    def __init__(self, seat: Seat, report: ReportState, times: LeaseTimes) -> None:
        self.seat = seat
        self.report = report
        self.times = times


class RunAction(Action[RunScope, OrderedRun]):
    """Name an effect in the ordered_run chart."""

    __slots__ = ()


class RunGuard(Guard[RunScope, OrderedRun]):
    """Name a condition in the ordered_run chart."""

    __slots__ = ()


class SendStart(RunAction):
    """Ask the worker to start the run."""

    __slots__ = ()


class SendStop(RunAction):
    """Ask the worker to stop the run and never to start it."""

    __slots__ = ()


class NoteRefusal(RunAction):
    """Remember why the worker did not start the run."""

    __slots__ = ()


class NoteLeaving(RunAction):
    """Remember that the worker takes no runs because it leaves."""

    __slots__ = ()


class NoteStopped(RunAction):
    """Remember since when the run can't start any more."""

    __slots__ = ()


class ListNow(RunAction):
    """Ask for the worker's lists without delay."""

    __slots__ = ()


class RetryLater(RunAction):
    """Repeat the call after a delay."""

    __slots__ = ()


class WorkerTakesRuns(RunGuard):
    """Hold unless the worker leaves."""

    __slots__ = ()


class AskedAfterStop(RunGuard):
    """Hold if the lists were asked for after the stop was taken."""

    __slots__ = ()


def ordered_run_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the ordered_run chart bound to its actions and guards."""
    return catalogue.bind(
        "ordered_run",
        actions=RunAction.__subclasses__(),
        guards=RunGuard.__subclasses__(),
    )


@holds.register
def _(guard: WorkerTakesRuns) -> bool:
    return guard.state.seat.state is WorkerState.READY


@holds.register
def _(guard: AskedAfterStop) -> bool:
    message = guard.message
    return (
        isinstance(message, RunMissing)
        and message.asked_at > guard.subject.stop_taken_at
    )


@perform.register
def _(action: SendStart) -> list[Command]:
    scope, run = action.state, action.subject
    seat = scope.seat
    end = lease_end(seat, scope.report, scope.times, action.now)
    start = CallStart(
        worker_id=seat.info.worker_id,
        incarnation=seat.info.incarnation,
        address=seat.info.address,
        epoch=seat.epoch,
        task=run.order.task,
        run=run.order.run,
        payload=run.payload,
        checkpoint=run.order.checkpoint,
        lease_end=end,
    )
    log = WriteLog(
        number=RUN_ORDERED.number,
        fields=_fields(seat, run)
        | {"epoch": seat.epoch, "lease": round(end, 3), "retries": run.retries},
    )
    return [log, start]


@perform.register
def _(action: SendStop) -> list[Command]:
    seat, run = action.state.seat, action.subject
    stop = CallStop(
        worker_id=seat.info.worker_id,
        incarnation=seat.info.incarnation,
        address=seat.info.address,
        epoch=seat.epoch,
        task=run.order.task,
        run=run.order.run,
    )
    fields = _fields(seat, run) | {"reason": run.refusal or "ordered"}
    return [WriteLog(number=RUN_STOP_ORDERED.number, fields=fields), stop]


@perform.register
def _(action: NoteRefusal) -> list[Command]:
    seat, run, message = action.state.seat, action.subject, action.message
    if isinstance(message, StartRejected):
        run.refusal = message.reason
    fields = _fields(seat, run) | {"reason": run.refusal}
    return [WriteLog(number=RUN_REFUSED.number, fields=fields)]


@perform.register
def _(action: NoteLeaving) -> list[Command]:
    seat, run = action.state.seat, action.subject
    run.refusal = LEAVING
    fields = _fields(seat, run) | {"reason": LEAVING}
    return [WriteLog(number=RUN_REFUSED.number, fields=fields)]


@perform.register
def _(action: NoteStopped) -> list[Command]:
    if isinstance(action.message, StopAccepted):
        action.subject.stop_taken_at = action.now
    return []


@perform.register
def _(action: ListNow) -> list[Command]:
    return [ask_lists(action.state, 0.0, action.now)]


@perform.register
def _(action: RetryLater) -> list[Command]:
    seat, run = action.state.seat, action.subject
    delay = min(RETRY_DELAY * 2**run.retries, RETRY_DELAY_LIMIT)
    run.retries += 1
    due = RunDue(worker_id=seat.info.worker_id, task=run.order.task, run=run.order.run)
    timer_id = f"run:{run.order.task}:{run.order.run}"
    return [SetTimer(timer_id=timer_id, delay=delay, message=due)]


def ask_lists(
    scope: RunScope, wait: float, now: float, recurring: bool = False
) -> Command:
    """Return the call for the worker's lists that also extends its lease."""
    seat = scope.seat
    return CallList(
        worker_id=seat.info.worker_id,
        incarnation=seat.info.incarnation,
        address=seat.info.address,
        epoch=seat.epoch,
        acknowledged=seat.orders.acknowledged if seat.orders else 0,
        wait=wait,
        lease_end=lease_end(seat, scope.report, scope.times, now),
        recurring=recurring,
    )


def _fields(seat: Seat, run: OrderedRun) -> dict[str, Any]:
    return {
        "task": run.order.task,
        "run": run.order.run,
        "worker": seat.info.worker_id,
        "incarnation": seat.info.incarnation,
    }
