"""Test both sides of the stream with malformed frames."""

from __future__ import annotations

import asyncio
import struct

import msgpack
import pytest
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Server
from tests.stream.harness import announce, Rig, run, until

from wasabispur_core.log_event import (
    CONNECTION_UNUSED,
    HANDLER_FAILED,
    MESSAGE_MALFORMED,
    STREAM_FAILED,
)
from wasabispur_core.protocol import FRAME_LIMIT_BYTES, Welcome
from wasabispur_runtime.codec import FROM_AGENT, MessageCodec, TO_AGENT
from wasabispur_runtime.stream import ATTACH_METHOD


def frame(data: bytes) -> bytes:
    return b"\0" + struct.pack(">I", len(data)) + data


def named(name, **fields) -> bytes:
    return frame(msgpack.packb([name, fields]))


def bad_frames(name) -> dict[str, tuple[bytes, bool]]:
    """Return faults by name: the bytes, and whether the sender then ends its side.

    The name is that of a heartbeat message which the receiver accepts.
    """
    good = named(name, sequence=1, bundle_version=0)
    return {
        "garbage": (frame(b"\xc1\xff\x00garbage"), False),
        "empty frame": (frame(b""), False),
        "not a list": (frame(msgpack.packb({"name": name})), False),
        "one element": (frame(msgpack.packb([name])), False),
        "name is a list": (frame(msgpack.packb([[name], {}])), False),
        "unknown message": (named("Surprise", sequence=1), False),
        "missing field": (named(name, sequence=1), False),
        "wrong type": (named(name, sequence="x", bundle_version=0), False),
        "fields are a list": (frame(msgpack.packb([name, [1, 0]])), False),
        "trailing bytes": (frame(msgpack.packb([name, {}]) + b"\x01"), False),
        "truncated frame": (good[:-4], True),
        "truncated prefix": (good[:3], True),
        "oversize": (b"\0" + struct.pack(">I", FRAME_LIMIT_BYTES + 1), False),
        "4 GiB": (b"\0" + struct.pack(">I", 2**32 - 1), False),
        "compressed": (b"\x01" + good[1:], False),
    }


BEAT = named("Heartbeat", sequence=1, bundle_version=0)
TO_ENTRY_FAULTS = bad_frames("Heartbeat") | {
    "message of the other direction": (
        named("Welcome", entry_id="e", heartbeat_interval=1.0),
        False,
    ),
}
TO_AGENT_FAULTS = bad_frames("HeartbeatAck") | {
    "not a number": (
        named("RequestPermit", attempt_id="a", request_id="r", remaining=float("nan")),
        False,
    ),
    "message of the other direction": (named("Leaving"), False),
}


class RawService:
    """Welcome an agent and then send fixed bytes."""

    def __init__(self, welcome, data, end) -> None:
        self.welcome, self.data, self.end = welcome, data, end

    async def attach(self, stream) -> None:
        await stream.recv_message()
        await stream.send_message(self.welcome)
        if self.data:
            await stream._stream.send_data(self.data)
        if not self.end:
            await asyncio.sleep(60)

    def __mapping__(self):
        handler = Handler(self.attach, Cardinality.STREAM_STREAM, FROM_AGENT, TO_AGENT)
        return {ATTACH_METHOD: handler}


async def send_raw(port, data, end, announced) -> None:
    """Send bytes to an entry and return when it has ended the stream."""
    channel = Channel("127.0.0.1", port, codec=MessageCodec())
    method = StreamStreamMethod(channel, ATTACH_METHOD, FROM_AGENT, TO_AGENT)
    try:
        async with method.open() as stream:
            await stream.send_request()
            if announced:
                await stream.send_message(announce("raw"))
                await stream.recv_message()
            if data:
                await stream._stream.send_data(data, end_stream=end)
            while await stream.recv_message() is not None:
                continue
    except Exception:
        return
    finally:
        channel.close()


@pytest.mark.parametrize("announced", [False, True], ids=["first", "later"])
@pytest.mark.parametrize("name", TO_ENTRY_FAULTS)
def test_entry_ends_the_stream_with_one_record(name, announced):
    """Guard against a malformed frame that harms the entry or other agents."""
    data, end = TO_ENTRY_FAULTS[name]

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            await send_raw(rig.port, data, end, announced)
            await until(lambda: rig.events.count(MESSAGE_MALFORMED) == 1)
            await until(lambda: len(rig.membership.sessions) == 1)
            await until(lambda: len(rig.server.connections) == 1)
            await rig.beat(2)
            assert rig.events.count(MESSAGE_MALFORMED) == 1
            assert rig.events.count(HANDLER_FAILED) == 0

    run(main())


@pytest.mark.parametrize("name", TO_AGENT_FAULTS)
def test_agent_ends_the_stream_with_one_record_and_redials(name):
    """Guard against an entry whose malformed frame stops an agent's link."""
    data, end = TO_AGENT_FAULTS[name]

    async def main() -> None:
        welcome = Welcome(entry_id="raw", heartbeat_interval=1.0)
        server = Server([RawService(welcome, data, end)], codec=MessageCodec())
        await server.start("127.0.0.1", 0)
        async with Rig() as rig:
            rig.link(port=server._server.sockets[0].getsockname()[1])
            await until(lambda: rig.events.count(STREAM_FAILED) == 1)
            assert rig.events.count(MESSAGE_MALFORMED) == 1
            await rig.redial()
            await until(lambda: rig.events.count(STREAM_FAILED) == 2)
            assert rig.events.count(HANDLER_FAILED) == 0
            server.close()
            await server.wait_closed()

    run(main())


@pytest.mark.parametrize("interval", [0.0, -1.0, 1e9])
def test_agent_refuses_an_interval_out_of_bounds(interval):
    """Guard against an entry that makes agents send heartbeats without pause."""

    async def main() -> None:
        welcome = Welcome(entry_id="raw", heartbeat_interval=interval)
        server = Server([RawService(welcome, b"", True)], codec=MessageCodec())
        await server.start("127.0.0.1", 0)
        async with Rig() as rig:
            link = rig.link(port=server._server.sockets[0].getsockname()[1])
            await until(lambda: rig.events.count(STREAM_FAILED) == 1)
            assert link.stream is None
            server.close()
            await server.wait_closed()

    run(main())


def test_first_message_must_be_announce():
    """Guard against a stream without an agent id."""

    async def main() -> None:
        async with Rig() as rig:
            await send_raw(rig.port, BEAT, False, announced=False)
            assert rig.events.count(MESSAGE_MALFORMED) == 1
            assert not rig.membership.sessions
            await until(lambda: not rig.server.connections)

    run(main())


def test_announcement_that_never_comes_ends_the_stream():
    """Guard against streams that occupy a session without an agent."""

    async def main() -> None:
        async with Rig(session_limit=1) as rig:
            waiting = asyncio.create_task(send_raw(rig.port, b"", False, False))
            await until(lambda: rig.server._mapping and rig.server.connections)
            connection = next(iter(rig.server.connections))
            await until(lambda: connection.connection.streams_started)
            await asyncio.sleep(0.01)
            rig.timers.advance(5.0)
            await waiting
            assert rig.events.count(MESSAGE_MALFORMED) == 1
            await until(lambda: not rig.server.connections)

    run(main())


@pytest.mark.parametrize("data", [b"", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"])
def test_connection_without_a_stream_is_closed(data):
    """Guard against open sockets that nothing uses."""

    async def main() -> None:
        async with Rig() as rig:
            _, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            writer.write(data)
            await until(lambda: rig.server.connections)
            rig.timers.advance(4.9)
            assert rig.events.count(CONNECTION_UNUSED) == 0
            rig.timers.advance(0.2)
            assert rig.events.count(CONNECTION_UNUSED) == 1
            await until(lambda: not rig.server.connections)
            writer.close()

    run(main())


def test_connection_with_garbage_is_closed_at_once():
    """Guard against bytes that are not HTTP/2."""

    async def main() -> None:
        async with Rig() as rig:
            _, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            await until(lambda: rig.server.connections)
            writer.write(b"GET / HTTP/1.1\r\n\r\n" * 10)
            await until(lambda: not rig.server.connections)
            writer.close()

    run(main())
