"""Call the object store and verify the digests of its answers."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from urllib.parse import quote

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.message import Message
from wasabispur_core.storage.object_access import (
    decide,
    digest_matches,
    new_object_access,
    OBJECT_LIMIT_BYTES,
    ObjectAnswered,
    ObjectMethod,
    ObjectRequested,
    SendObjectCall,
)
from wasabispur_core.storage.store_call import CallAnswer, CallLost
from wasabispur_core.timer import TimerService

from .http_call import CALL_TIMEOUT, HttpClient, HttpResponse
from .store_actor import call_service, failed_answer, Receiver, StoreActor

OK = 200
NOT_FOUND = 404


@dataclass(frozen=True, slots=True, kw_only=True)
class CallObjectStore(Message):
    """Request a call; ObjectDone or ObjectUnavailable is passed to receiver.

    An object is stored once under its key and never changed, so a call whose
    answer was lost can be repeated.
    """

    method: ObjectMethod
    key: str
    receiver: Receiver
    data: bytes = b""


class ObjectClient(StoreActor):
    """Call the object store and track the calls in progress."""

    def __init__(
        self,
        timers: TimerService,
        url: str,
        random: Random,
        catalogue: ChartCatalogue | None = None,
        call_timeout: float = CALL_TIMEOUT,
    ) -> None:
        state = new_object_access(catalogue or ChartCatalogue(), random)
        super().__init__("object-client", timers, url, state, decide, call_timeout)

    def on_call_object_store(self, message: CallObjectStore) -> None:
        """Start a call."""
        call_id = self.register_call(message.receiver)
        self.on_message(
            ObjectRequested(
                call_id=call_id,
                method=message.method,
                key=message.key,
                data=message.data,
            )
        )


@call_service.register
def _(command: SendObjectCall, client: HttpClient) -> CallAnswer:
    path = f"/v1/objects/{quote(command.key)}"
    body = command.data if command.method is ObjectMethod.PUT else None
    result = client.call(command.method.value, path, body, OBJECT_LIMIT_BYTES)
    if isinstance(result, HttpResponse) and result.status == OK:
        if command.method is ObjectMethod.GET and not digest_matches(
            command.key, result.body
        ):
            return CallLost(call_id=command.call_id, reason="the digest does not match")
        data = result.body if command.method is ObjectMethod.GET else b""
        return ObjectAnswered(call_id=command.call_id, data=data)
    if isinstance(result, HttpResponse) and result.status == NOT_FOUND:
        return ObjectAnswered(call_id=command.call_id, data=None)
    return failed_answer(result, command.call_id)
