"""Test the actor base class."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from tests.stream.harness import EventCount, run, until

from wasabispur_core.error import MailboxFullError, ProtocolError
from wasabispur_core.log_event import HANDLER_FAILED, MAILBOX_FULL, MESSAGE_REJECTED
from wasabispur_core.message import Message
from wasabispur_core.timer import FakeTimerService
from wasabispur_runtime.actor import Actor


@dataclass(frozen=True, slots=True, kw_only=True)
class Note(Message):
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Fail(Message):
    error: Exception


class Sample(Actor):
    mailbox_limit = 3

    def __init__(self) -> None:
        super().__init__("sample", FakeTimerService())
        self.seen: list[int] = []
        self.released = False

    async def on_note(self, message: Note) -> None:
        await asyncio.sleep(0)
        self.seen.append(message.number)

    def on_fail(self, message: Fail) -> None:
        raise message.error

    async def closed(self) -> None:
        self.released = True


def test_handles_messages_in_order_and_closes_after_the_queued_ones():
    """Guard against messages that are reordered, or lost when an actor is closed."""

    async def main() -> None:
        actor = Sample()
        actor.start()
        for number in range(3):
            actor.post(Note(number=number))
        await actor.close()
        await actor.close()
        assert actor.seen == [0, 1, 2]
        assert actor.released

    run(main())


@pytest.mark.parametrize(
    ("message", "event"),
    [
        (Fail(error=ValueError("broken {brace}")), HANDLER_FAILED),
        (Fail(error=ProtocolError("bad", "send good")), MESSAGE_REJECTED),
        (Message(), MESSAGE_REJECTED),
    ],
)
def test_failing_handler_does_not_stop_the_actor(message, event):
    """Guard against an actor that one failing message stops."""

    async def main() -> None:
        events = EventCount()
        actor = Sample()
        actor.start()
        actor.post(message)
        actor.post(Note(number=1))
        await until(lambda: actor.seen == [1])
        assert events.count(event) == 1
        await actor.close()

    run(main())


def test_full_mailbox_rejects_messages_and_logs_once_per_overload():
    """Guard against an unbounded mailbox and a log record for every rejection."""

    async def main() -> None:
        events = EventCount()
        actor = Sample()
        for number in range(3):
            actor.post(Note(number=number))
        for number in range(5):
            with pytest.raises(MailboxFullError):
                actor.post(Note(number=number))
        assert events.count(MAILBOX_FULL) == 1
        actor.start()
        await until(lambda: actor.seen == [0, 1, 2])
        for number in range(3):
            actor.post(Note(number=number))
        with pytest.raises(MailboxFullError):
            actor.post(Note(number=9))
        assert events.count(MAILBOX_FULL) == 2
        await actor.close()

    run(main())


def test_full_mailbox_accepts_timers_and_close():
    """Guard against a heartbeat or a stop that is lost when the mailbox is full."""

    async def main() -> None:
        actor = Sample()
        for number in range(3):
            actor.post(Note(number=number))
        actor.set_timer("late", 1.0, Note(number=99))
        actor.timers.advance(1.0)
        actor.start()
        await actor.close()
        assert actor.seen == [0, 1, 2, 99]

    run(main())


def test_timers_are_replaced_cancelled_and_dropped_at_close():
    """Guard against timers that fire twice, or after their actor was closed."""

    async def main() -> None:
        actor = Sample()
        actor.start()
        actor.set_timer("a", 1.0, Note(number=1))
        actor.set_timer("a", 2.0, Note(number=2))
        actor.set_timer("b", 1.0, Note(number=3))
        actor.cancel_timer("b")
        actor.timers.advance(3.0)
        await until(lambda: actor.seen == [2])
        actor.set_timer("c", 1.0, Note(number=4))
        await actor.close()
        actor.timers.advance(2.0)
        assert actor.mailbox.empty()

    run(main())


class Ticking(Actor):
    """Set a timer again each time it fires, and fail on some of them."""

    def __init__(self, timers: FakeTimerService, errors: list[Exception]) -> None:
        super().__init__("ticking", timers)
        self.errors = errors
        self.ticks = 0

    def on_note(self, message: Note) -> None:
        if self.errors:
            raise self.errors.pop(0)
        self.ticks += 1
        self.set_timer("tick", 0.25, message)


@pytest.mark.parametrize(
    "error", [ValueError("planted"), ProtocolError("planted", "none")]
)
def test_timer_is_set_again_after_its_handler_failed(error):
    """Guard against periodic work that one unexpected error ends for good."""

    async def main() -> None:
        timers = FakeTimerService()
        actor = Ticking(timers, [error])
        actor.start()
        actor.set_timer("tick", 0.25, Note(number=1))
        for _ in range(12):
            timers.advance(0.25)
            for _ in range(5):
                await asyncio.sleep(0)
        await actor.close()
        assert actor.ticks >= 4

    run(main())
