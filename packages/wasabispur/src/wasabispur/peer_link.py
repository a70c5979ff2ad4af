"""Find the peers of an entry and keep a stream to each that it has to dial."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from grpclib.client import Channel, StreamStreamMethod

from wasabispur_core.error import ProtocolError
from wasabispur_core.log_event import HANDLER_FAILED, STREAM_FAILED
from wasabispur_core.message import Message
from wasabispur_core.peer_directory import (
    decide,
    DialPeer,
    DropPeer,
    EntryRecord,
    PeerDirectoryState,
    ReadDue,
    WithdrawEntry,
    WriteDue,
)
from wasabispur_core.protocol import PeerHello
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.codec import BETWEEN_ENTRIES, MessageCodec
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log, log_failure
from wasabispur_runtime.stream import (
    FRAME_ERRORS,
    limit_frames,
    PEER_METHOD,
    STREAM_ERRORS,
)
from wasabispur_runtime.timer_service import time_limit

from .peer_session import HELLO_TIMEOUT, PeerContext

BACKOFF_BASE = 0.2
BACKOFF_LIMIT = 2.0
"""Bounds in seconds of the jittered delay before the next dial."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DialDue(Message):
    """Tell a link to dial its peer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkEnded(Message):
    """Report that the stream of a link ended."""

    reason: str


class PeerLink(Actor):
    """Keep one stream to one peer open; dial again with backoff."""

    def __init__(
        self, record: EntryRecord, context: PeerContext, random: Random
    ) -> None:
        super().__init__(f"peer:{record.entry_id}", context.timers)
        self.record = record
        self.context = context
        self.random = random
        self.failures = 0
        self.session: asyncio.Task[None] | None = None

    async def opened(self) -> None:
        """Dial at once."""
        self.post(DialDue())

    async def closed(self) -> None:
        """End the stream."""
        if self.session is not None:
            self.session.cancel()
            await asyncio.gather(self.session, return_exceptions=True)

    def on_dial_due(self, message: DialDue) -> None:
        """Open a stream in a task of its own, so that messages go on."""
        self.session = asyncio.get_running_loop().create_task(self._serve())

    def on_link_ended(self, message: LinkEnded) -> None:
        """Schedule the next dial."""
        self.failures += 1
        limit = min(BACKOFF_LIMIT, BACKOFF_BASE * 2**self.failures)
        log(STREAM_FAILED, peer=self.record.entry_id, reason=message.reason)
        self.set_timer("dial", self.random.uniform(BACKOFF_BASE, limit), DialDue())

    async def _serve(self) -> None:
        host, _, port = self.record.address.rpartition(":")
        channel = Channel(host, int(port), codec=MessageCodec())
        reason = "closed"
        try:
            reason = await self._connect(channel)
        except TimeoutError:
            reason = "the peer did not introduce itself in time"
        except (ProtocolError, *FRAME_ERRORS, *STREAM_ERRORS) as error:
            reason = f"{type(error).__name__}: {error}"
        except Exception as error:
            # The link has to dial again after any failure.
            reason = f"{type(error).__name__}: {error}"
            log_failure(
                HANDLER_FAILED, actor=self.name, message_name="dial_due", error=reason
            )
        finally:
            channel.close()
        self.post_urgent(LinkEnded(reason=reason))

    async def _connect(self, channel: Channel) -> str:
        messages = cast(Any, BETWEEN_ENTRIES)
        method: Any = StreamStreamMethod(channel, PEER_METHOD, messages, messages)
        async with method.open() as stream:
            async with time_limit(self.timers, HELLO_TIMEOUT):
                await stream.send_message(self.context.hello())
                limit_frames(stream)
                hello = await stream.recv_message()
            if not isinstance(hello, PeerHello):
                return "the peer sent no PeerHello"
            # Another process may have got the address of a peer that is gone.
            if hello.entry_id != self.record.entry_id:
                return f"the address belongs to {hello.entry_id} now"
            self.failures = 0
            session = self.context.session(hello, stream, initiator=True)
            reason = await session.report()
            await stream.cancel()
            return reason


class PeerDirectory(DecisionActor):
    """Own this entry's row and the links to the peers that it dials."""

    def __init__(
        self,
        timers: TimerService,
        state: PeerDirectoryState,
        context: PeerContext,
        table: Actor,
    ) -> None:
        super().__init__("peer-directory", timers, state, decide)
        self.context = context
        self.table = table
        self.links: dict[str, PeerLink] = {}

    async def opened(self) -> None:
        """Write the own row and look for peers at once."""
        self.post(WriteDue())
        self.post(ReadDue())

    async def closed(self) -> None:
        """Withdraw the own row and end the links."""
        self.on_message(WithdrawEntry())
        await asyncio.gather(*(link.close() for link in self.links.values()))

    async def on_link_dropped(self, message: LinkDropped) -> None:
        """End a link that is not needed any more."""
        await message.link.close()


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkDropped(Message):
    """Tell the directory to end a link."""

    link: PeerLink


@execute.register
def _(command: DialPeer, actor: PeerDirectory) -> None:
    record = command.record
    previous = actor.links.pop(record.entry_id, None)
    if previous is not None:
        actor.post(LinkDropped(link=previous))
    link = PeerLink(record, actor.context, Random())
    actor.links[record.entry_id] = link
    link.start()


@execute.register
def _(command: DropPeer, actor: PeerDirectory) -> None:
    link = actor.links.pop(command.entry_id, None)
    if link is not None:
        actor.post(LinkDropped(link=link))
