"""Guard what an entry does before it knows which bundle is in force."""

from __future__ import annotations

from concurrent.futures import Future
from random import Random

from wasabispur import member_routing as member_routing
from wasabispur.bridge import Ask
from wasabispur.request_dispatcher import RequestDispatcher
from wasabispur_core.bundles.bundle_record import POINTER_KEY
from wasabispur_core.bundles.bundle_version import (
    ApplyBundle,
    BundleVersionState,
    decide as decide_version,
    NoBundleInForce,
    POINTER_READ,
    ProcessKind,
)
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.protocol import Reason
from wasabispur_core.requests.outcome import Outcome
from wasabispur_core.requests.request import RequestState
from wasabispur_core.requests.request_chart import request_chart
from wasabispur_core.requests.request_message import AgentAttached, RequestReceived
from wasabispur_core.storage.store import Row, RowsRead, RowsUnavailable
from wasabispur_core.timer import FakeTimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.bundle_codec import BundleRecords

from .operators import content


def dispatcher_with_endpoint() -> tuple[RequestDispatcher, Actor]:
    """Return the dispatcher of an entry that has just started, and its membership."""
    timers = FakeTimerService()
    membership = Actor("membership", timers)
    state = RequestState("atlanta", request_chart(ChartCatalogue()), Random(1))
    dispatcher = RequestDispatcher(timers, state, membership)
    dispatcher.on_message(
        AgentAttached(agent_id="a0", service="tags", region="atlanta", slots=2)
    )
    return dispatcher, membership


def ask(dispatcher: RequestDispatcher, work_class: str = "urgent") -> Future:
    """Send a request without an idempotency key, and return the future of its reply."""
    request = RequestReceived(
        request_id="r",
        organisation="peachtree",
        work_class=work_class,
        service="tags",
        method="POST",
        path="/",
        headers={},
        body=b"",
        deadline=10.0,
    )
    reply: Future = Future()
    dispatcher.on_ask(Ask(message=request, reply=reply))
    return reply


def test_no_request_runs_under_a_default_class_that_the_bundle_may_replace():
    """Guard against a second run of a class that the bundle made non-idempotent."""
    dispatcher, membership = dispatcher_with_endpoint()
    reply = ask(dispatcher)
    assert membership.mailbox.empty()
    told = reply.result(0)
    assert told.outcome is Outcome.NOT_RUN
    assert told.reason == Reason.BUNDLE_UNKNOWN.value


def test_requests_run_once_the_bundle_or_its_absence_is_known():
    """Guard against an entry that refuses requests for good."""
    for message in (
        NoBundleInForce(),
        ApplyBundle(version=1, content=content()),
    ):
        dispatcher, membership = dispatcher_with_endpoint()
        handler = {
            NoBundleInForce: dispatcher.on_no_bundle_in_force,
            ApplyBundle: dispatcher.on_apply_bundle,
        }[type(message)]
        handler(message)
        ask(dispatcher)
        assert not membership.mailbox.empty()


def reported(message: RowsRead | RowsUnavailable) -> bool:
    """Return whether an entry takes a first read for proof that there is no bundle."""
    state = BundleVersionState(
        kind=ProcessKind.ENTRY,
        records=BundleRecords(),
        verifier=None,
        random=Random(1),
    )
    return NoBundleInForce() in decide_version(message, state, 0.0)


def test_only_an_answered_read_without_a_pointer_shows_that_there_is_no_bundle():
    """Guard against an outage, or an unreadable row, that is taken for no bundle."""
    unreadable = Row(key=POINTER_KEY, version=1, operation_id="o", value={"schema": 99})
    assert reported(RowsRead(read_id=POINTER_READ, rows=()))
    assert not reported(RowsRead(read_id=POINTER_READ, rows=(unreadable,)))
    assert not reported(RowsUnavailable(read_id=POINTER_READ, reason="outage"))
