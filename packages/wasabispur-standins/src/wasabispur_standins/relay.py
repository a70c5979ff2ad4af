"""Forward TCP connections on loopback with faults that are set at run time.

This development tool simulates network faults between agents and entries.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor

CHUNK_BYTES = 64 * 1024
HOST = "127.0.0.1"


class RelayFault(Enum):
    """Define how a relay treats its connections."""

    NONE = "forward everything"
    SILENT = "keep all connections open and forward nothing"
    ESTABLISHED_SILENT = "as SILENT, but only on connections that are open already"
    CUT = "close the open connections; new ones work"
    REFUSED = "close the open connections and refuse new ones"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetFault(Message):
    """Set the fault of a relay; delay is added to every chunk, in seconds."""

    fault: RelayFault
    delay: float = 0.0


class RelayConnection:
    """Forward one connection in both directions until it ends."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.unblocked = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and forward until both directions have ended."""
        self.writers.append(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.relay.target_port
            )
            self.writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer))
                group.create_task(self._forward(target_reader, writer))
        except* OSError:
            pass
        finally:
            self.abort()

    def abort(self) -> None:
        """Close both sides at once."""
        for writer in self.writers:
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.relay.delay)
            await self.unblocked.wait()
            self.relay.forwarded_bytes += len(chunk)
            writer.write(chunk)
            await writer.drain()
        await self.unblocked.wait()
        writer.close()


class Relay(Actor):
    """Listen on a port and forward its connections to a target port."""

    def __init__(self, timers: TimerService, target_port: int) -> None:
        super().__init__("relay", timers)
        self.target_port = target_port
        self.port = 0
        self.delay = 0.0
        self.fault = RelayFault.NONE
        self.forwarded_bytes = 0
        self.accepted = 0
        self.connections: dict[RelayConnection, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None

    async def opened(self) -> None:
        """Listen on a port chosen by the system."""
        await self._listen()

    async def closed(self) -> None:
        """Close the port and all connections."""
        await self._stop_listening()
        if self.connections:
            await asyncio.wait(self.connections.values())

    async def on_set_fault(self, message: SetFault) -> None:
        """Set the fault for open and new connections."""
        self.fault = message.fault
        self.delay = message.delay
        if message.fault is RelayFault.REFUSED:
            await self._stop_listening()
            return
        if self.server is None:
            await self._listen()
        if message.fault is RelayFault.CUT:
            self._abort_all()
        for connection in self.connections:
            self._apply_fault(connection, established=True)

    async def _listen(self) -> None:
        self.server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        self._abort_all()

    def _abort_all(self) -> None:
        for connection in self.connections:
            connection.unblocked.set()
            connection.abort()

    def _apply_fault(self, connection: RelayConnection, established: bool) -> None:
        silent = self.fault is RelayFault.SILENT
        if established and self.fault is RelayFault.ESTABLISHED_SILENT:
            silent = True
        if silent:
            connection.unblocked.clear()
        else:
            connection.unblocked.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = RelayConnection(self)
        self._apply_fault(connection, established=False)
        self.accepted += 1
        task = asyncio.current_task()
        if task is None:
            return
        self.connections[connection] = task
        try:
            await connection.serve(reader, writer)
        finally:
            del self.connections[connection]
