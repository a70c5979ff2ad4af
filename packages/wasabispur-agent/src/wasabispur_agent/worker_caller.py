"""Call the workers beside an agent of the workload plane."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial, singledispatch

from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.agent.health_check import CheckHealth, HealthAnswered
from wasabispur_core.workload.agent.runner_message import (
    ListFailed,
    ListRuns,
    StartRun,
    StartUnanswered,
    StopRun,
    StopUnanswered,
    WorkerCall,
)
from wasabispur_core.workload.workers.worker import HealthAnswer
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.http_call import HttpClient
from wasabispur_runtime.thread_call import call_on_thread, ThreadsStoppedError

CONCURRENT_CALL_LIMIT = 6
"""Calls to workers in progress at once; one of them waits until a run ends."""

CALL_TIMEOUT = 0.8
"""Seconds after which a call to a worker counts as unanswered."""

CLIENTS_LIMIT = 16
"""Workers to which connections are kept; each new one may have a new address."""

CALL_FAILED = "the call failed in the agent"

WorkerTransport = Callable[[WorkerCall, HttpClient, float], Message]
"""Make one blocking call in the worker's protocol, sent at a monotonic time."""


class WorkerCaller(Actor):
    """Call workers on a bounded number of threads."""

    def __init__(self, timers: TimerService, transport: WorkerTransport) -> None:
        super().__init__("worker-caller", timers)
        self.transport = transport
        self.receiver: Callable[[Message], None] = lambda message: None
        self.clients: dict[str, HttpClient] = {}
        self.threads = ThreadPoolExecutor(
            CONCURRENT_CALL_LIMIT, thread_name_prefix="worker"
        )
        self.calls: set[asyncio.Task[None]] = set()

    def on_message(self, message: Message) -> None:
        """Make a call and pass its answer to the receiver."""
        if not isinstance(message, WorkerCall):
            super().on_message(message)
            return
        task = asyncio.get_running_loop().create_task(self._call(message))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _call(self, command: WorkerCall) -> None:
        client = self._client(command.address)
        sent_at = self.timers.now()
        with suppress(ThreadsStoppedError):
            answer = await call_on_thread(
                self.threads,
                self.name,
                command,
                partial(self.transport, command, client, sent_at),
                failed_call(command),
            )
            self.receiver(answer)

    def _client(self, address: str) -> HttpClient:
        client = self.clients.pop(address, None) or HttpClient(
            f"http://{address}", CONCURRENT_CALL_LIMIT, CALL_TIMEOUT
        )
        self.clients[address] = client
        if len(self.clients) > CLIENTS_LIMIT:
            # The dictionary is in the order of the last use.
            self.clients.pop(next(iter(self.clients))).close()
        return client

    async def closed(self) -> None:
        """Stop the threads and close the connections."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        for client in self.clients.values():
            client.close()


@singledispatch
def failed_call(command: WorkerCall) -> Message:
    """Return the answer to a call that failed inside the agent."""
    raise TypeError(f"{type(command).__name__} has no answer")


@failed_call.register
def _(command: CheckHealth) -> Message:
    return HealthAnswered(
        worker_id=command.worker_id,
        incarnation=command.incarnation,
        answer=HealthAnswer.UNANSWERED,
        reason=CALL_FAILED,
    )


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
