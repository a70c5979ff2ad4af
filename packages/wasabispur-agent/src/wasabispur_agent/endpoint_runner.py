"""Grant permits for attempts and execute them at the endpoint beside the agent."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from wasabispur_core.log_event import ATTEMPT_ENDED, ATTEMPT_STARTED
from wasabispur_core.message import event_name, Message
from wasabispur_core.protocol import Leaving
from wasabispur_core.requests.permit import (
    CallEndpoint,
    decide,
    PermitState,
    SendToEntryLink,
)
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log

from .endpoint_client import EndpointClient


@dataclass(frozen=True, slots=True, kw_only=True)
class CallEnded(Message):
    """Report how a call to the endpoint ended."""

    attempt_id: str
    result: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequested(Message):
    """Request that the runner grants no more permits and finishes its attempts."""


class EndpointRunner(DecisionActor):
    """Execute the decisions on permits, with one thread for each slot."""

    def __init__(
        self, timers: TimerService, state: PermitState, client: EndpointClient
    ) -> None:
        super().__init__("endpoint-runner", timers, state, decide)
        self.client = client
        self.links: dict[str, Actor] = {}
        self.threads = ThreadPoolExecutor(state.slots, thread_name_prefix="endpoint")
        self.calls: set[asyncio.Task[None]] = set()
        self.drained = asyncio.Event()

    def on_call_ended(self, message: CallEnded) -> None:
        """Log the result of a call and pass it to the decision component."""
        log(
            ATTEMPT_ENDED,
            attempt=message.attempt_id,
            result=event_name(message.result),
        )
        self.on_message(message.result)

    def on_drain_requested(self, message: DrainRequested) -> None:
        """Grant no more permits, and notify the entries."""
        self.state.leaving = True
        for address, link in self.links.items():
            link.post(SendToEntryLink(entry_id=address, message=Leaving()))

    async def handle(self, message: Message) -> None:
        """Handle a message, and signal when a drain has finished."""
        await super().handle(message)
        # A granted permit may still be used, so it counts as in progress.
        if self.state.leaving and not self.state.attempts:
            self.drained.set()

    async def drain(self) -> None:
        """Grant no more permits; return once none is valid and no attempt runs."""
        self.post(DrainRequested())
        await self.drained.wait()

    async def closed(self) -> None:
        """Stop the threads."""
        self.threads.shutdown(wait=False, cancel_futures=True)


@execute.register
def _(command: SendToEntryLink, actor: EndpointRunner) -> None:
    link = actor.links.get(command.entry_id)
    if link is not None:
        link.post(command)


@execute.register
def _(command: CallEndpoint, actor: EndpointRunner) -> None:
    log(ATTEMPT_STARTED, attempt=command.start.attempt_id)
    task = asyncio.get_running_loop().create_task(_call(command, actor))
    actor.calls.add(task)
    task.add_done_callback(actor.calls.discard)


async def _call(command: CallEndpoint, actor: EndpointRunner) -> None:
    loop = asyncio.get_running_loop()
    result = await loop.run_in_executor(actor.threads, actor.client.call, command.start)
    actor.post(CallEnded(attempt_id=command.start.attempt_id, result=result))
