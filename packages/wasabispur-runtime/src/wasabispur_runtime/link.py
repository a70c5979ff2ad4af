"""Keep a stream to another process open, and reconnect with backoff."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

from grpclib.client import Channel

from wasabispur_core.error import ProtocolError
from wasabispur_core.log_event import HANDLER_FAILED, STREAM_FAILED
from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService

from .actor import Actor
from .codec import MessageCodec
from .log import log, log_failure
from .stream import FRAME_ERRORS, STREAM_ERRORS

WELCOME_TIMEOUT = 3.0
"""Seconds within which the other process has to answer the introduction."""

BACKOFF_BASE = 0.2
BACKOFF_LIMIT = 2.0
"""Bounds in seconds of the random delay before the next connection attempt.

A process that is reachable again has to receive the newest bundle within 5 s.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class DialDue(Message):
    """Request the next connection attempt of a link."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkEnded(Message):
    """Report that the stream of a link ended."""

    reason: str


class Link(Actor):
    """Connect to one address, serve the stream, and reconnect with backoff.

    Subclasses implement connect(), which returns why the stream ended, and set
    failures to 0 once a stream is stable.
    """

    def __init__(
        self, name: str, peer: str, address: str, timers: TimerService, random: Random
    ) -> None:
        super().__init__(name, timers)
        self.peer = peer
        self.address = address
        self.random = random
        self.failures = 0
        self.session: asyncio.Task[None] | None = None

    async def opened(self) -> None:
        """Request the first connection attempt."""
        self.post(DialDue())

    def on_dial_due(self, message: DialDue) -> None:
        """Connect in a separate task, so that the actor keeps handling messages."""
        self.session = asyncio.get_running_loop().create_task(self._serve())

    def on_link_ended(self, message: LinkEnded) -> None:
        """Schedule the next connection attempt."""
        self.failures += 1
        limit = min(BACKOFF_LIMIT, BACKOFF_BASE * 2**self.failures)
        log(STREAM_FAILED, peer=self.peer, reason=message.reason)
        self.set_timer("dial", self.random.uniform(BACKOFF_BASE, limit), DialDue())

    async def connect(self, channel: Channel) -> str:
        """Serve one stream on the channel and return why it ended."""
        raise NotImplementedError

    async def _serve(self) -> None:
        host, _, port = self.address.rpartition(":")
        channel = Channel(host, int(port), codec=MessageCodec())
        reason = "closed"
        try:
            reason = await self.connect(channel)
        except TimeoutError:
            reason = "the introduction was not answered in time"
        except (ProtocolError, *FRAME_ERRORS, *STREAM_ERRORS) as error:
            reason = f"{type(error).__name__}: {error}"
        except Exception as error:
            # The link has to reconnect after any failure, also an unexpected one.
            reason = f"{type(error).__name__}: {error}"
            log_failure(
                HANDLER_FAILED, actor=self.name, message_name="dial_due", error=reason
            )
        finally:
            channel.close()
        self.post_urgent(LinkEnded(reason=reason))
