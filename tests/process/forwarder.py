"""Simulate a network link between regions that can be partitioned."""

from __future__ import annotations

import asyncio
import threading

START_TIMEOUT = 5.0
"""Seconds within which the forwarder has to start, and its thread to end."""

CHUNK_BYTES = 64 * 1024


class Forwarder:
    """Forward TCP connections to one port; while it is cut, drop all bytes.

    The forwarder runs on an event loop in a thread of its own.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.is_cut = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self.loop).result(
            START_TIMEOUT
        )

    def cut(self) -> None:
        """Drop all bytes and keep the connections open, as a network partition does."""
        self.is_cut = True

    def restore(self) -> None:
        """Forward again, and close the connections that were open during the cut."""
        self.loop.call_soon_threadsafe(self._close_connections)
        self.is_cut = False

    def close(self) -> None:
        """Close all connections and stop the thread."""
        self.loop.call_soon_threadsafe(self._close_connections)
        self.loop.call_soon_threadsafe(self.server.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(START_TIMEOUT)

    def _close_connections(self) -> None:
        for transport in self.writers:
            transport.close()
        self.writers.clear()

    async def _listen(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.close()
            return
        self.writers.add(target[1])
        await asyncio.gather(
            self._forward(reader, target[1]), self._forward(target[0], writer)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
