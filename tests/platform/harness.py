"""Provide platform clients and stand-ins that run in one event loop."""

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
"""Seconds after which the clients under test time out one call."""

LONG_CALL_TIMEOUT = 10.0
"""The same for tests in which no call may time out, even on a busy machine."""

TIME_STEP = 0.05
"""Seconds of fake time that pass while nothing is in progress."""

FAKE_TIME_LIMIT = 60.0
"""Seconds of fake time within which each result has to arrive."""


@asynccontextmanager
async def running_stand_in(name: str, state, build_root):
    """Run a stand-in on a free port."""
    timers = LoopTimerService(asyncio.get_running_loop())
    stand_in = StandIn(name, timers, state, build_root, 0)
    stand_in.start()
    try:
        yield stand_in
    finally:
        await stand_in.close()


def set_faults(stand_in: StandIn, *faults: dict) -> None:
    """Replace the faults of the stand-in before its next request."""
    stand_in.control.post(ReplaceFaults(faults=FaultList(faults=list(faults))))


class Client:
    """Run one client on a fake clock, which advances only while no call is open."""

    def __init__(self, build, port: int, call_timeout: float) -> None:
        self.timers = FakeTimerService()
        url = f"http://127.0.0.1:{port}"
        self.actor: StoreActor = build(
            self.timers, url, Random(7), call_timeout=call_timeout
        )
        self.results: list[Message] = []

    def receive_result(self, message: Message) -> None:
        """Collect a result of the client."""
        self.results.append(message)

    async def ask(self, *messages: Message) -> list[Message]:
        """Post messages and return one result for each."""
        self.results = []
        for message in messages:
            self.actor.post(message)
        return await self.wait(len(messages))

    async def wait(self, number: int) -> list[Message]:
        """Wait for a number of results and return them."""
        while len(self.results) < number:
            await self.step()
        return self.results

    async def step(self) -> None:
        """Wait for calls in progress, or advance the fake time if there are none."""
        await asyncio.sleep(0)
        if not self.actor.mailbox.empty():
            return
        if self.actor.calls:
            await asyncio.wait(self.actor.calls)
            return
        assert self.timers.now() < FAKE_TIME_LIMIT, "no result within the time limit"
        self.timers.advance(TIME_STEP)


@asynccontextmanager
async def connected_client(build, port: int, call_timeout: float = CALL_TIMEOUT):
    """Run a client that calls a stand-in on the port."""
    client = Client(build, port, call_timeout)
    client.actor.start()
    try:
        yield client
    finally:
        await client.actor.close()
