"""Call one service of the platform on threads, and track the calls in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial, singledispatch
from itertools import count

from wasabispur_core.error import WasabispurError
from wasabispur_core.log_event import (
    RESULT_UNDELIVERED,
    STORE_AVAILABLE,
    STORE_UNAVAILABLE,
)
from wasabispur_core.message import event_name, Message
from wasabispur_core.storage.store_access import StoreAccess, THREAD_LIMIT
from wasabispur_core.storage.store_call import (
    CallAnswer,
    CallLost,
    CallRefused,
    CallRejected,
    CallThrottled,
    DeliverResult,
    SendCall,
)
from wasabispur_core.timer import TimerService

from .decision_actor import Decide, DecisionActor, execute
from .http_call import (
    CALL_TIMEOUT,
    HttpClient,
    HttpResponse,
    HttpResult,
    RequestNotSent,
    ResponseLost,
)
from .log import log
from .thread_call import call_on_thread, ThreadsStoppedError

Receiver = Callable[[Message], None]
StoreTransport = Callable[[SendCall, HttpClient], CallAnswer]
"""Make one blocking call in the protocol of a service."""

TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
CLIENT_ERRORS = range(400, 500)
REASON_LENGTH_LIMIT = 200
"""Characters of an error response that a reason includes."""


class StoreActor(DecisionActor):
    """Call one service over a connection pool, with a bounded number of threads."""

    def __init__(
        self,
        name: str,
        timers: TimerService,
        url: str,
        state: StoreAccess,
        decide: Decide,
        call_timeout: float = CALL_TIMEOUT,
        transport: StoreTransport | None = None,
    ) -> None:
        super().__init__(name, timers, state, decide)
        self.transport = transport or call_service
        self.client = HttpClient(url, THREAD_LIMIT, call_timeout)
        self.threads = ThreadPoolExecutor(THREAD_LIMIT, thread_name_prefix=name)
        self.call_ids = count(1)
        self.receivers: dict[int, Receiver] = {}
        self.calls: set[asyncio.Task[None]] = set()
        self.circuit = state.circuit.state

    def register_call(self, receiver: Receiver) -> int:
        """Return the id of a new call whose result goes to the receiver."""
        call_id = next(self.call_ids)
        self.receivers[call_id] = receiver
        return call_id

    def on_message(self, message: Message) -> None:
        """Decide on the message, and log when the service's availability changes."""
        super().on_message(message)
        circuit = self.state.circuit.state
        if circuit == self.circuit:
            return
        if circuit == "open" and self.circuit == "closed":
            log(STORE_UNAVAILABLE, store=self.name)
        if circuit == "closed":
            log(STORE_AVAILABLE, store=self.name)
        self.circuit = circuit

    def deliver(self, command: DeliverResult) -> None:
        """Pass a result to its receiver, and log if the receiver rejects it."""
        receiver = self.receivers.pop(command.call_id, None)
        if receiver is None:
            return
        try:
            receiver(command.result)
        except WasabispurError as error:
            log(
                RESULT_UNDELIVERED,
                store=self.name,
                result=event_name(command.result),
                error=str(error),
            )

    def send(self, command: SendCall) -> None:
        """Call the service on a thread and post its answer to this actor."""
        task = asyncio.get_running_loop().create_task(self._call(command))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _call(self, command: SendCall) -> None:
        failed: CallAnswer = CallLost(call_id=command.call_id, reason="the call failed")
        try:
            answer = await call_on_thread(
                self.threads,
                self.name,
                command,
                partial(self.transport, command, self.client),
                failed,
            )
        except ThreadsStoppedError as error:
            answer = CallLost(call_id=command.call_id, reason=str(error))
        self.post_urgent(answer)

    async def closed(self) -> None:
        """Stop the threads and close the connections."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        self.client.close()


@singledispatch
def call_service(command: SendCall, client: HttpClient) -> CallAnswer:
    """Make one blocking call and return its answer."""
    return CallRejected(
        call_id=command.call_id, reason=f"{type(command).__name__} has no body"
    )


@singledispatch
def failed_answer(result: HttpResult, call_id: int) -> CallAnswer:
    """Return the answer for a call that the service did not complete."""
    return CallLost(call_id=call_id, reason="no answer")


@failed_answer.register
def _(result: RequestNotSent, call_id: int) -> CallAnswer:
    return CallRefused(call_id=call_id, reason=result.reason)


@failed_answer.register
def _(result: ResponseLost, call_id: int) -> CallAnswer:
    return CallLost(call_id=call_id, reason=result.reason)


@failed_answer.register
def _(result: HttpResponse, call_id: int) -> CallAnswer:
    reason = f"status {result.status}"
    if result.status == TOO_MANY_REQUESTS:
        return CallThrottled(call_id=call_id, reason=reason)
    if result.status == SERVICE_UNAVAILABLE:
        return CallRefused(call_id=call_id, reason=reason)
    if result.status in CLIENT_ERRORS:
        detail = result.body[:REASON_LENGTH_LIMIT].decode(errors="replace")
        return CallRejected(call_id=call_id, reason=f"{reason}: {detail}")
    return CallLost(call_id=call_id, reason=reason)


@execute.register
def _(command: SendCall, actor: StoreActor) -> None:
    actor.send(command)


@execute.register
def _(command: DeliverResult, actor: StoreActor) -> None:
    actor.deliver(command)
