"""Bar the runs of a worker's former incarnations, and keep which of them had begun.

The agent's runner does this when a worker announces a later incarnation, which may
happen before a refused connection shows that the former one crashed.
"""

from __future__ import annotations

from ...command import Command
from ..workers.worker import is_later_incarnation, RunOrder, WorkerState
from .run_action import is_prompt, recent_starts
from .run_dispatch import handle_run_event
from .runner_message import RunAnswer, StartAccepted, StartUnanswered, StopRun
from .runner_state import LocalWorker, OrderedRun, RunnerState, StopOrdered

FORMER_RUN = "ordered for a former incarnation"


def inherit(worker: LocalWorker, former: LocalWorker) -> None:
    """Take over what is known of the calls to a worker's former incarnation."""
    worker.started = former.started
    worker.former_crashes = former.former_crashes
    if former.departed or former.info.state is not WorkerState.READY:
        # A worker that announced that it leaves did not crash.
        return
    worker.former_crashes |= {
        key
        for key, run in former.ordered.items()
        if run.begun and not run.lifecycle.final
    }


def learn_former_start(worker: LocalWorker, message: RunAnswer, now: float) -> None:
    """Learn from the result of a call to a former incarnation that a run had begun.

    A task that crashes its worker breaks the connection soon after the start. Its
    result may arrive after the heartbeat of the next incarnation.
    """
    key = message.task, message.run
    sent_at = worker.started.get(key)
    if sent_at is None:
        return
    broken = isinstance(message, StartUnanswered) and (
        message.sent and not message.timed_out and is_prompt(message, sent_at, now)
    )
    if isinstance(message, StartAccepted) or broken:
        worker.former_crashes.add(key)


def bar_late_starts(worker: LocalWorker, now: float) -> list[Command]:
    """Stop the starts that a later lifetime of a worker that is gone may carry out.

    The owner has these runs started elsewhere at once, as most starts without an answer
    are never carried out. The next lifetime may serve calls before its first heartbeat.
    So the stops are sent with each request for the lists, and one of the first calls
    that it serves bars the runs.
    """
    if not worker.process_gone:
        return []
    return [
        StopRun(
            worker_id=worker.info.worker_id,
            incarnation=worker.info.incarnation,
            address=worker.info.address,
            epoch=worker.epoch,
            task=task,
            run=run,
        )
        for task, run in sorted(recent_starts(worker, now))
    ]


def bar_former_runs(
    worker: LocalWorker, state: RunnerState, now: float
) -> list[Command]:
    """Stop the runs of former incarnations at a worker that was announced just now.

    A call names the worker's id only, so that this incarnation may carry out a start
    that was meant for a former one, which it can't tell from the fencing token. The
    orders show what the former incarnation may have been told to start, also to an
    agent that has restarted.
    """
    orders = state.orders.get(worker.info.worker_id)
    keys = set(recent_starts(worker, now))
    if orders is not None and is_later_incarnation(
        worker.info.incarnation, orders.incarnation
    ):
        keys |= {(order.task, order.run) for order in orders.runs}
    commands: list[Command] = []
    for key in sorted(keys):
        order = RunOrder(task=key[0], run=key[1], job_id="", stop=True)
        worker.former_runs[key] = OrderedRun(
            order=order,
            payload="",
            lifecycle=state.run_chart.start(),
            refusal_reason=FORMER_RUN,
        )
        commands += handle_run_event(worker, key, StopOrdered(), state, now)
    return commands
