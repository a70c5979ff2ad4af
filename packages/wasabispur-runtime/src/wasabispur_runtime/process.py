"""Run the main coroutine of a process, with its stop signals and exit codes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from enum import IntEnum

from wasabispur_core.error import (
    AddressInUseError,
    SettingsError,
    StoreError,
    WasabispurError,
)

from .timer_service import LoopTimerService


class ExitCode(IntEnum):
    """Define the exit codes of all commands; click uses 2 for wrong usage."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    ADDRESS_IN_USE = 4
    UNAVAILABLE = 5
    CONFLICT = 6
    REFUSED = 7
    NOT_FOUND = 8
    OUTCOME_UNKNOWN = 9
    NO_RECORD = 10


EXIT_CODES: dict[type[WasabispurError], ExitCode] = {
    SettingsError: ExitCode.SETTINGS,
    AddressInUseError: ExitCode.ADDRESS_IN_USE,
    StoreError: ExitCode.UNAVAILABLE,
}

Main = Callable[[LoopTimerService, asyncio.Event], Awaitable[None]]


def run_process(main: Main) -> None:
    """Run main until it returns; its event is set by SIGTERM or SIGINT.

    If main raises a WasabispurError, prints it as one line to standard error and
    exits with the error's code.
    """
    try:
        asyncio.run(_run(main))
    except WasabispurError as error:
        exit_with_error(error)
    sys.stdout.flush()
    sys.stderr.flush()
    # A blocking call may keep a thread busy for seconds after all actors have
    # closed, and a normal exit of the interpreter would wait for that thread.
    os._exit(ExitCode.OK)


def exit_with_error(error: WasabispurError) -> None:
    """Print the error and its remedy, and exit with its code."""
    print(f"error: {error}", file=sys.stderr)
    codes = [EXIT_CODES[cls] for cls in type(error).__mro__ if cls in EXIT_CODES]
    sys.exit(codes[0] if codes else ExitCode.FAILED)


async def _run(main: Main) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await main(LoopTimerService(loop), stop)
