"""Make blocking calls on threads; a stopped actor is not a failed call."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from wasabispur_core.error import WasabispurError
from wasabispur_core.log_event import HANDLER_FAILED
from wasabispur_core.message import event_name

from .log import log_failure

AnswerT = TypeVar("AnswerT")


class ThreadsStoppedError(WasabispurError):
    """Report that a call was not made, because its actor is closed."""


async def call_on_thread(
    threads: ThreadPoolExecutor,
    actor: str,
    command: Any,
    call: Callable[[], AnswerT],
    failed: AnswerT,
) -> AnswerT:
    """Return the answer of a blocking call, or log its error and return failed.

    Raise ThreadsStoppedError if the threads accept no call any more.
    """
    try:
        answer = asyncio.get_running_loop().run_in_executor(threads, call)
    except RuntimeError as error:
        raise ThreadsStoppedError(
            f"{actor} makes no calls any more", "restart the process"
        ) from error
    try:
        return await answer
    except Exception as error:
        log_failure(
            HANDLER_FAILED,
            actor=actor,
            message_name=event_name(command),
            error=f"{type(error).__name__}: {error}",
        )
        return failed
