"""Own the requests in progress at this entry."""

from __future__ import annotations

from concurrent.futures import Future
from functools import singledispatch
from typing import Any

from wasabispur_core.log_event import REQUEST_ANSWERED, REQUEST_RECEIVED
from wasabispur_core.message import Message
from wasabispur_core.outcome import ReplyToCaller
from wasabispur_core.request import decide, RequestReceived, RequestState
from wasabispur_core.request_history import LookUpRequest, TellStatus
from wasabispur_core.store import RowsUnavailable, StoreUnavailable
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log
from wasabispur_runtime.table_client import ApplyTransaction, FetchRows, TableClient

from .bridge import Ask

NO_TABLE = "no table service is set"


class MissingTable:
    """Refuse every call to the table service of an entry that has none."""

    def post(self, message: Message) -> None:
        """Answer that nothing was written or read."""
        refuse(message)


@singledispatch
def refuse(message: Message) -> None:
    """Answer a call to the table service that can't be made."""


@refuse.register
def _(message: ApplyTransaction) -> None:
    message.receiver(
        StoreUnavailable(
            operation_id=message.transaction.operation_id,
            reason=NO_TABLE,
            uncertain=False,
        )
    )


@refuse.register
def _(message: FetchRows) -> None:
    message.receiver(RowsUnavailable(read_id=message.read_id, reason=NO_TABLE))


class RequestDispatcher(DecisionActor):
    """Own the request state and the callers that wait for a reply."""

    def __init__(
        self, timers: TimerService, state: RequestState, membership: Actor
    ) -> None:
        super().__init__("request-dispatcher", timers, state, decide)
        self.membership = membership
        self.table: TableClient | MissingTable = MissingTable()
        self.waiting: dict[str, Future[Any]] = {}

    def on_ask(self, message: Ask) -> None:
        """Take a caller's request together with the future for its reply."""
        request = message.message
        if isinstance(request, RequestReceived):
            self.waiting[request.request_id] = message.reply
            log(REQUEST_RECEIVED, request=request.request_id)
        if isinstance(request, LookUpRequest):
            self.waiting[request.lookup_id] = message.reply
        self.on_message(request)


@execute.register
def _(command: ReplyToCaller, actor: RequestDispatcher) -> None:
    reply = actor.waiting.pop(command.request_id, None)
    log(REQUEST_ANSWERED, request=command.request_id, outcome=command.outcome.value)
    if reply is not None and not reply.done():
        reply.set_result(command)


@execute.register
def _(command: TellStatus, actor: RequestDispatcher) -> None:
    reply = actor.waiting.pop(command.lookup_id, None)
    if reply is not None and not reply.done():
        reply.set_result(command.status)
