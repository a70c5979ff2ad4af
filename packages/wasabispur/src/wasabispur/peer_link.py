"""Find an entry instance's peers and keep a stream to each that it has to dial."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from grpclib.client import Channel, StreamStreamMethod

from wasabispur_core.membership.peer_directory import (
    decide,
    DialPeer,
    DropPeer,
    EntryRecord,
    PeerDirectoryState,
    ReadDue,
    WithdrawEntry,
    WriteDue,
)
from wasabispur_core.message import Message
from wasabispur_core.protocol import PeerHello
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.codec import BETWEEN_ENTRIES
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.link import Link, WELCOME_TIMEOUT
from wasabispur_runtime.stream import enforce_frame_limit, PEER_METHOD
from wasabispur_runtime.timer_service import time_limit

from .peer_session import PeerContext


class PeerLink(Link):
    """Keep one stream to one peer open."""

    def __init__(
        self, record: EntryRecord, context: PeerContext, random: Random
    ) -> None:
        name = f"peer:{record.entry_id}"
        super().__init__(name, record.entry_id, record.address, context.timers, random)
        self.record = record
        self.context = context

    async def closed(self) -> None:
        """Cancel the stream and wait for its end."""
        if self.session is not None:
            self.session.cancel()
            await asyncio.gather(self.session, return_exceptions=True)

    async def connect(self, channel: Channel) -> str:
        """Serve one stream to the peer and return why it ended."""
        messages = cast(Any, BETWEEN_ENTRIES)
        method: Any = StreamStreamMethod(channel, PEER_METHOD, messages, messages)
        async with method.open() as stream:
            async with time_limit(self.timers, WELCOME_TIMEOUT):
                await stream.send_message(self.context.hello())
                enforce_frame_limit(stream)
                hello = await stream.recv_message()
            if not isinstance(hello, PeerHello):
                return "the peer sent no PeerHello"
            # After a peer has stopped, another process may use its address.
            if hello.entry_id != self.record.entry_id:
                return f"the address belongs to {hello.entry_id} now"
            self.failures = 0
            session = self.context.session(hello, stream, initiator=True)
            reason = await session.serve_and_report()
            await stream.cancel()
            return reason


class PeerDirectory(DecisionActor):
    """Maintain this entry's row and the links to the peers that it dials."""

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
        """Write this entry's row and read the peers' rows at once."""
        self.post(WriteDue())
        self.post(ReadDue())

    async def closed(self) -> None:
        """Withdraw this entry's row and close the links."""
        self.on_message(WithdrawEntry())
        await asyncio.gather(*(link.close() for link in self.links.values()))

    async def on_link_dropped(self, message: LinkDropped) -> None:
        """Close a link that is no longer needed."""
        await message.link.close()


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkDropped(Message):
    """Request that the directory closes a link."""

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
