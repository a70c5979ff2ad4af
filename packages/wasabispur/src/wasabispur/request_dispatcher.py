"""Own the requests in progress at this entry."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

from wasabispur_core.bundle_version import ApplyBundle
from wasabispur_core.log_event import REQUEST_ANSWERED, REQUEST_RECEIVED
from wasabispur_core.outcome import ReplyToCaller
from wasabispur_core.request import decide, RequestReceived, RequestState
from wasabispur_core.request_class import ClassesChanged
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log

from .bridge import Ask


class RequestDispatcher(DecisionActor):
    """Own the request state and the callers that wait for a reply."""

    def __init__(
        self, timers: TimerService, state: RequestState, membership: Actor
    ) -> None:
        super().__init__("request-dispatcher", timers, state, decide)
        self.membership = membership
        self.waiting: dict[str, Future[Any]] = {}

    def on_ask(self, message: Ask) -> None:
        """Take a caller's request together with the future for its reply."""
        request = message.message
        if isinstance(request, RequestReceived):
            self.waiting[request.request_id] = message.reply
            log(REQUEST_RECEIVED, request=request.request_id)
        self.on_message(request)

    def on_apply_bundle(self, message: ApplyBundle) -> None:
        """Work by the classes of the bundle that came into force."""
        self.on_message(ClassesChanged(classes=message.content.classes))


@execute.register
def _(command: ReplyToCaller, actor: RequestDispatcher) -> None:
    reply = actor.waiting.pop(command.request_id, None)
    log(REQUEST_ANSWERED, request=command.request_id, outcome=command.outcome.value)
    if reply is not None and not reply.done():
        reply.set_result(command)
