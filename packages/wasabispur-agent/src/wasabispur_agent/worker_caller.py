"""Own the connections to the workers beside the agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatch

from wasabispur_core.log_event import HANDLER_FAILED
from wasabispur_core.message import event_name, Message
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.runner_message import (
    ListFailed,
    ListRuns,
    StartRun,
    StartUnanswered,
    StopRun,
    StopUnanswered,
    WorkerCall,
)
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.http_call import HttpCaller
from wasabispur_runtime.log import log_failure

CALL_THREADS = 6
"""Calls to workers at once; one of them waits for ends."""

CALL_TIMEOUT = 0.8
"""Seconds after which a call to a worker counts as unanswered."""

CALL_FAILED = "the call failed in the agent"

Serve = Callable[[WorkerCall, HttpCaller, float], Message]
"""Makes one blocking call in the worker's protocol at a monotonic time."""


class WorkerCaller(Actor):
    """Call workers on a bounded number of threads."""

    def __init__(self, timers: TimerService, serve: Serve) -> None:
        super().__init__("worker-caller", timers)
        self.serve = serve
        self.receiver: Callable[[Message], None] = lambda message: None
        self.callers: dict[str, HttpCaller] = {}
        self.threads = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="worker")
        self.calls: set[asyncio.Task[None]] = set()

    def on_message(self, message: Message) -> None:
        """Make a call and post its answer to the receiver."""
        if not isinstance(message, WorkerCall):
            super().on_message(message)
            return
        task = asyncio.get_running_loop().create_task(self._call(message))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _call(self, command: WorkerCall) -> None:
        loop = asyncio.get_running_loop()
        caller = self._caller(command.address)
        sent_at = self.timers.now()
        try:
            answer = await loop.run_in_executor(
                self.threads, self.serve, command, caller, sent_at
            )
        except RuntimeError:
            # The thread pool refuses calls once the process stops.
            return
        except Exception as error:
            log_failure(
                HANDLER_FAILED,
                actor=self.name,
                message_name=event_name(command),
                error=str(error),
            )
            answer = failed_call(command)
        self.receiver(answer)

    def _caller(self, address: str) -> HttpCaller:
        if address not in self.callers:
            self.callers[address] = HttpCaller(
                f"http://{address}", CALL_THREADS, CALL_TIMEOUT
            )
        return self.callers[address]

    async def closed(self) -> None:
        """Stop the threads and close the connections."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        for caller in self.callers.values():
            caller.close()


@singledispatch
def failed_call(command: WorkerCall) -> Message:
    """Return the answer for a call that failed in this process."""
    raise TypeError(f"{type(command).__name__} has no answer")


@failed_call.register
def _(command: ListRuns) -> Message:
    return ListFailed(
        worker_id=command.worker_id,
        incarnation=command.incarnation,
        reason=CALL_FAILED,
        recurring=command.recurring,
    )


@failed_call.register
def _(command: StartRun) -> Message:
    return StartUnanswered(
        worker_id=command.worker_id,
        incarnation=command.incarnation,
        task=command.task,
        run=command.run,
        reason=CALL_FAILED,
    )


@failed_call.register
def _(command: StopRun) -> Message:
    return StopUnanswered(
        worker_id=command.worker_id,
        incarnation=command.incarnation,
        task=command.task,
        run=command.run,
        reason=CALL_FAILED,
    )
