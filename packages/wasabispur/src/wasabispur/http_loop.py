"""Run the event loop that all HTTP servers of a process share."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from functools import cache
from threading import Thread
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class HttpLoop:
    """Run an event loop on a thread of its own.

    It serves clients also while the process's main loop is busy, so that a readiness
    check detects a stall.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = Thread(target=self.loop.run_forever, name="http", daemon=True)
        self.thread.start()

    def run(self, coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine on the loop and return its result to another thread."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()


@cache
def shared_loop() -> HttpLoop:
    """Return the loop of this process; it runs until the process ends."""
    return HttpLoop()
