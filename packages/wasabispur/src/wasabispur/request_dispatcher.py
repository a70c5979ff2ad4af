"""Process the requests in progress at an entry instance."""

from __future__ import annotations

import asyncio
import contextlib
from concurrent.futures import Future
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from wasabispur_core.bundles.bundle_version import ApplyBundle, NoBundleInForce
from wasabispur_core.log_event import REQUEST_ANSWERED, REQUEST_RECEIVED
from wasabispur_core.message import Message
from wasabispur_core.protocol import Reason
from wasabispur_core.requests.outcome import Outcome, ReplyToCaller
from wasabispur_core.requests.request import decide, RequestState
from wasabispur_core.requests.request_class import ClassesChanged
from wasabispur_core.requests.request_history import LookUpRequest, ReplyToLookup
from wasabispur_core.requests.request_message import RequestReceived
from wasabispur_core.storage.store import RowsUnavailable, StoreUnavailable
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log
from wasabispur_runtime.table_client import ApplyTransaction, FetchRows
from wasabispur_runtime.timer_service import time_limit

from .bridge import Ask

NO_TABLE = "no table service is set"


SETTLE_TIMEOUT = 5.0
"""Seconds to wait for claims to be settled after the last reply."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequested(Message):
    """Request that the dispatcher accepts no more requests and finishes its own."""


class MissingTable:
    """Refuse every call to the table service of an entry that has none."""

    def post(self, message: Message) -> None:
        """Reply that the call was not made."""
        refuse(message)


@singledispatch
def refuse(message: Message) -> None:
    """Reply to a call that can't be made without a table service."""


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
    """Process callers' requests and complete the futures of their replies."""

    def __init__(
        self, timers: TimerService, state: RequestState, membership: Actor
    ) -> None:
        super().__init__("request-dispatcher", timers, state, decide)
        self.membership = membership
        self.table: Actor | MissingTable = MissingTable()
        self.waiting: dict[str, Future[Any]] = {}
        self.draining = False
        # Until then a class may have another meaning than its default.
        self.classes_known = False
        self.answered = asyncio.Event()
        self.drained = asyncio.Event()

    def on_ask(self, message: Ask) -> None:
        """Process a caller's request or lookup and keep the future for its reply."""
        request = message.message
        if self.draining and isinstance(request, RequestReceived):
            message.reply.set_result(refuse_request(request, Reason.ENTRY_LEAVING))
            return
        if not self.classes_known and isinstance(request, RequestReceived):
            message.reply.set_result(refuse_request(request, Reason.BUNDLE_UNKNOWN))
            return
        if isinstance(request, RequestReceived):
            self.waiting[request.request_id] = message.reply
            log(REQUEST_RECEIVED, request=request.request_id)
        if isinstance(request, LookUpRequest):
            self.waiting[request.lookup_id] = message.reply
        self.on_message(request)

    def on_apply_bundle(self, message: ApplyBundle) -> None:
        """Apply the classes of the bundle that came into force."""
        self.on_message(ClassesChanged(classes=message.content.classes))
        self.classes_known = True

    def on_no_bundle_in_force(self, message: NoBundleInForce) -> None:
        """Serve the default classes, as no bundle has replaced them."""
        self.classes_known = True

    def on_drain_requested(self, message: DrainRequested) -> None:
        """Stop accepting requests."""
        self.draining = True

    async def handle(self, message: Message) -> None:
        """Handle a message and update the progress of a drain."""
        await super().handle(message)
        if not self.draining or self.waiting:
            return
        self.answered.set()
        if not self.state.requests:
            self.drained.set()

    async def drain(self) -> None:
        """Wait until every caller has its reply and every claim is settled.

        The wait for claims is limited, since the table service may be unreachable.
        """
        self.post_urgent(DrainRequested())
        await self.answered.wait()
        with contextlib.suppress(TimeoutError):
            async with time_limit(self.timers, SETTLE_TIMEOUT):
                await self.drained.wait()


def refuse_request(request: RequestReceived, reason: Reason) -> ReplyToCaller:
    """Return the reply to a request that the entry does not take at present."""
    return ReplyToCaller(
        request_id=request.request_id,
        outcome=Outcome.NOT_RUN,
        reason=reason.value,
    )


@execute.register
def _(command: ReplyToCaller, actor: RequestDispatcher) -> None:
    reply = actor.waiting.pop(command.request_id, None)
    log(REQUEST_ANSWERED, request=command.request_id, outcome=command.outcome.value)
    if reply is not None and not reply.done():
        reply.set_result(command)


@execute.register
def _(command: ReplyToLookup, actor: RequestDispatcher) -> None:
    reply = actor.waiting.pop(command.lookup_id, None)
    if reply is not None and not reply.done():
        reply.set_result(command.status)
