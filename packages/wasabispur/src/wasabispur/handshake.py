"""Receive the first message on a control stream that an entry instance accepted."""

from __future__ import annotations

from typing import Any, TypeVar

from wasabispur_core.error import ProtocolError
from wasabispur_core.log_event import MESSAGE_MALFORMED
from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService
from wasabispur_runtime.log import log
from wasabispur_runtime.stream import enforce_frame_limit, FRAME_ERRORS, STREAM_ERRORS
from wasabispur_runtime.timer_service import time_limit

HANDSHAKE_TIMEOUT = 5.0
"""Seconds within which a new stream has to deliver its first message."""

HANDSHAKE_LIMIT_BYTES = 16 * 1024
"""Largest first message; an Announce has a few short names.

Anyone who reaches the control port can send one, and its bytes are held until it is
complete.
"""

MessageT = TypeVar("MessageT", bound=Message)


async def receive_handshake(
    stream: Any, timers: TimerService, expected: type[MessageT]
) -> MessageT | None:
    """Return the first message of a stream, an Announce or a PeerHello.

    Logs a message that is late, malformed or of another class, and returns None.
    """
    try:
        enforce_frame_limit(stream, HANDSHAKE_LIMIT_BYTES)
        async with time_limit(timers, HANDSHAKE_TIMEOUT):
            first = await stream.recv_message()
    except TimeoutError:
        _log_rejection(expected, f"no {expected.__name__} arrived in time")
        return None
    except (ProtocolError, *FRAME_ERRORS, *STREAM_ERRORS) as error:
        _log_rejection(expected, str(error))
        return None
    if not isinstance(first, expected):
        _log_rejection(expected, f"the first message is not {expected.__name__}")
        return None
    return first


def _log_rejection(expected: type[Message], error: str) -> None:
    log(MESSAGE_MALFORMED, peer=f"new stream ({expected.__name__})", error=error)
