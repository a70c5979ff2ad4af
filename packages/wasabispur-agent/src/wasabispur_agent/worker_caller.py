"""Own the connections to the workers beside the agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.runner_message import WorkerCall
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.http_call import HttpCaller

CALL_THREADS = 6
"""Calls to workers at once; one of them waits for ends."""

CALL_TIMEOUT = 0.8
"""Seconds after which a call to a worker counts as unanswered."""

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
