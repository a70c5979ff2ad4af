"""Test the order, the limits and the rejection of waiting requests."""

from __future__ import annotations

import itertools

import pytest

from wasabispur_core.protocol import Reason
from wasabispur_core.requests.admission import Admission, QueueKey
from wasabispur_core.requests.outcome import Outcome
from wasabispur_core.work_class import default_classes, WorkClass

from .network import Network

SLOTS = 20
CLASSES = default_classes()


def work_class(name: str, **changes) -> WorkClass:
    fields = {
        "weight": 1.0,
        "floor": 0.0,
        "urgent": False,
        "idempotent": True,
        "deadline": 30.0,
        "queue_limit": 1000,
        "retry_budget": 0.1,
    }
    return WorkClass(name=name, **(fields | changes))


def fill(admission: Admission, kind: WorkClass, caller: str, count: int) -> list[str]:
    """Queue requests of one caller, and return their ids."""
    names = [f"{kind.name}/{caller}/{number}" for number in range(count)]
    for name in names:
        admission.add(name, QueueKey("s", kind.name, caller), kind)
    return names


def take(admission: Admission, count: int) -> list[str]:
    """Dequeue requests, each of which ends before the next starts."""
    taken = []
    for number in range(count):
        name = admission.take("s", SLOTS, float(number))
        assert name is not None
        kind, caller, _ = name.split("/")
        admission.release(QueueKey("s", kind, caller))
        taken.append(name)
    return taken


def test_classes_share_by_weight():
    """Guard against a class that starves another one."""
    admission = Admission()
    fill(admission, work_class("heavy", weight=3.0), "c", 400)
    fill(admission, work_class("light"), "c", 400)
    taken = take(admission, 400)
    assert sum(name.startswith("heavy") for name in taken) == pytest.approx(300, abs=2)


def test_idle_class_earns_no_credit():
    """Guard against a class that blocks others after an idle period."""
    admission = Admission()
    fill(admission, work_class("busy"), "c", 500)
    take(admission, 300)
    fill(admission, work_class("late"), "c", 100)
    taken = take(admission, 100)
    assert sum(name.startswith("late") for name in taken) == pytest.approx(50, abs=2)


def test_class_below_its_floor_goes_first():
    """Guard against an overloaded class that takes the guaranteed slots of another."""
    admission = Admission()
    fill(admission, work_class("heavy", weight=1000.0), "c", 100)
    fill(admission, work_class("small", floor=0.25), "c", 100)
    started = [admission.take("s", SLOTS, 0.0) for _ in range(SLOTS)]
    assert sum(name.startswith("small") for name in started) == SLOTS * 0.25


def test_callers_of_a_class_take_turns():
    """Guard against a large caller that delays small callers."""
    admission = Admission()
    kind = work_class("k")
    fill(admission, kind, "large", 400)
    small = fill(admission, kind, "small", 5)
    assert set(small) <= set(take(admission, 10))


def test_one_caller_never_fills_the_queue():
    """Guard against a large caller that gets small callers rejected."""
    admission = Admission()
    kind = work_class("k", queue_limit=100)
    for number in itertools.count():
        queue_key = QueueKey("s", "k", "large")
        rejection = admission.check(queue_key, kind, 30.0)
        if rejection is not None:
            break
        admission.add(f"k/large/{number}", queue_key, kind)
    assert rejection.reason is Reason.QUEUE_FULL
    assert number <= 50
    assert admission.check(QueueKey("s", "k", "small"), kind, 30.0) is None


def test_queue_never_exceeds_its_limit():
    """Guard against memory growth by many callers."""
    admission = Admission()
    kind = work_class("k", queue_limit=100)
    waiting = 0
    for number in range(1000):
        queue_key = QueueKey("s", "k", f"c{number}")
        if admission.check(queue_key, kind, 30.0) is None:
            admission.add(f"k/c{number}/0", queue_key, kind)
            waiting += 1
    assert waiting == 100


def test_cancelled_requests_are_removed_from_all_indexes():
    """Guard against cancelled requests that still occupy the queue or memory."""
    admission = Admission()
    names = fill(admission, work_class("k"), "c", 100)
    for name in names[:90]:
        admission.remove(name)
        admission.remove(name)
    assert take(admission, 10) == names[90:]
    assert not admission.queue_keys
    assert not admission.services["s"].classes["k"].callers


def test_request_that_would_wait_too_long_is_rejected_with_a_retry_time():
    """Guard against requests that wait although they will miss their deadline."""
    admission = Admission()
    kind = work_class("k")
    fill(admission, kind, "c", 200)
    take(admission, 100)
    rejection = admission.check(QueueKey("s", "k", "c"), kind, 10.0)
    assert rejection.reason is Reason.WAIT_TOO_LONG
    assert rejection.retry_after > 0
    assert admission.check(QueueKey("s", "k", "c"), kind, 1000.0) is None


def test_requests_beyond_the_slots_wait():
    """Guard against a rejection although a slot becomes free in time."""
    network = Network(agents=1)
    ids = [network.submit("urgent", deadline=30.0) for _ in range(6)]
    for _ in range(60):
        network.settle()
        for attempt_id in list(network.agents["a0"].calls):
            network.finish("a0", attempt_id)
        network.settle()
        network.clock.advance(0.1)
    assert [network.outcome(request_id) for request_id in ids] == (
        [Outcome.COMPLETED] * 6
    )
    assert not network.entry.admission.queue_keys


def test_request_is_requeued_when_the_agent_has_no_free_slot():
    """Guard against a failed request because another entry took the slot."""
    network = Network(agents=1)
    node = network.agents["a0"]
    node.state.slots = 0
    request_id = network.submit("urgent")
    network.settle()
    assert network.entry.requests[request_id].lifecycle.state == "queued"
    node.state.slots = 2
    network.clock.advance(0.2)
    network.settle()
    assert network.runs[request_id] == 1


def test_waiting_request_ends_as_not_run_at_its_deadline():
    """Guard against a waiting request that outlives its deadline."""
    network = Network(agents=1)
    network.agents["a0"].state.slots = 0
    request_id = network.submit("urgent", deadline=1.0)
    for _ in range(15):
        network.settle()
        network.clock.advance(0.1)
    (reply,) = network.replies[request_id]
    assert reply.outcome is Outcome.NOT_RUN
    assert reply.reason == Reason.DEADLINE_EXCEEDED.value
    assert not network.entry.admission.queue_keys
