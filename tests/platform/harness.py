"""Run platform clients against stand-ins in one event loop."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from random import Random

from wasabispur_core.message import Message
from wasabispur_core.timer import FakeTimerService
from wasabispur_runtime.store_actor import StoreActor
from wasabispur_runtime.timer_service import LoopTimerService
from wasabispur_standins.fault import FaultList
from wasabispur_standins.stand_in import ReplaceFaults, StandIn

CALL_TIMEOUT = 0.4
"""Seconds after which the clients under test give up one call."""

LONG_CALL_TIMEOUT = 10.0
"""The same where no call is to be lost, however busy the machine is."""

TIME_STEP = 0.05
"""Seconds of fake time that pass while nothing is in progress."""

FAKE_TIME_LIMIT = 60.0


@asynccontextmanager
async def running_stand_in(name: str, state, build_root):
    """Run a stand-in on a port of the system's choice."""
    timers = LoopTimerService(asyncio.get_running_loop())
    stand_in = StandIn(name, timers, state, build_root, 0)
    stand_in.start()
    try:
        yield stand_in
    finally:
        await stand_in.close()


def set_faults(stand_in: StandIn, *faults: dict) -> None:
    """Put faults into effect before the next request."""
    stand_in.control.post(ReplaceFaults(faults=FaultList(faults=list(faults))))


class Client:
    """Drive one client on the fake clock; time passes only between its calls."""

    def __init__(self, build, port: int, call_timeout: float) -> None:
        self.timers = FakeTimerService()
        url = f"http://127.0.0.1:{port}"
        self.actor: StoreActor = build(
            self.timers, url, Random(7), call_timeout=call_timeout
        )
        self.results: list[Message] = []

    def receive_result(self, message: Message) -> None:
        """Take a result."""
        self.results.append(message)

    async def ask(self, *messages: Message) -> list[Message]:
        """Post messages and return as many results."""
        self.results = []
        for message in messages:
            self.actor.post(message)
        return await self.wait(len(messages))

    async def wait(self, number: int) -> list[Message]:
        """Return a number of results once they are there."""
        while len(self.results) < number:
            await self.step()
        return self.results

    async def step(self) -> None:
        """Let calls in progress end, or let fake time pass."""
        await asyncio.sleep(0)
        if not self.actor.mailbox.empty():
            return
        if self.actor.calls:
            await asyncio.wait(self.actor.calls)
            return
        assert self.timers.now() < FAKE_TIME_LIMIT, "no result came"
        self.timers.advance(TIME_STEP)


@asynccontextmanager
async def connected_client(build, port: int, call_timeout: float = CALL_TIMEOUT):
    """Run a client of a stand-in."""
    client = Client(build, port, call_timeout)
    client.actor.start()
    try:
        yield client
    finally:
        await client.actor.close()
