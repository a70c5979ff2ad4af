"""Limit the connections to the control port of an entry instance."""

from __future__ import annotations

from typing import Any

from grpclib.config import Configuration
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from wasabispur_core.log_event import CONNECTION_UNUSED, CONNECTIONS_FULL, STREAMS_FULL
from wasabispur_core.message import Message
from wasabispur_core.timer import Subscription, TimerService
from wasabispur_runtime.codec import MessageCodec
from wasabispur_runtime.log import log

from .entry_settings import SPARE_CONNECTIONS
from .handshake import HANDSHAKE_TIMEOUT

STREAM_LIMIT = 4
"""Streams of a connection; agents and peers have one, and open another after its end.

Streams that have ended may remain for a moment.
"""

WINDOW_BYTES = 256 * 1024
"""Bytes of a connection that were received and that no stream has read."""


class ControlServer(Server):
    """Serve control streams on a bounded number of connections."""

    def __init__(self, service: Any, timers: TimerService, session_limit: int) -> None:
        windows = Configuration(
            http2_connection_window_size=WINDOW_BYTES,
            http2_stream_window_size=WINDOW_BYTES,
        )
        super().__init__([service], codec=MessageCodec(), config=windows)
        self.timers = timers
        self.limit = session_limit + SPARE_CONNECTIONS
        self.connections: set[ControlConnection] = set()

    def _protocol_factory(self) -> ControlConnection:
        connection = super()._protocol_factory()
        return ControlConnection(
            self, connection.handler, connection.config, connection.h2_config
        )


class ControlConnection(H2Protocol):
    """Abort a connection that exceeds a limit or opens no stream in time."""

    def __init__(
        self, server: ControlServer, handler: Any, config: Any, h2_config: Any
    ) -> None:
        super().__init__(handler, config, h2_config)
        self.server = server
        self.transport: Any = None
        self.handshake_timer: Subscription | None = None

    def connection_made(self, transport: Any) -> None:
        """Accept the connection if the limit allows it."""
        super().connection_made(transport)
        self.transport = transport
        if len(self.server.connections) >= self.server.limit:
            log(CONNECTIONS_FULL, limit=self.server.limit)
            transport.abort()
            return
        self.server.connections.add(self)
        self.handshake_timer = self.server.timers.subscribe(
            HANDSHAKE_TIMEOUT, self._abort_if_unused, Message()
        )

    def data_received(self, data: bytes) -> None:
        """Pass the data to the streams, and abort if there are too many of them."""
        super().data_received(data)
        if len(self.processor.streams) > STREAM_LIMIT:
            log(STREAMS_FULL, limit=STREAM_LIMIT)
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection against the limit."""
        if self.handshake_timer is not None:
            self.handshake_timer.cancel()
        self.server.connections.discard(self)
        super().connection_lost(exc)

    def _abort_if_unused(self, message: Message) -> None:
        if self.connection.streams_started:
            return
        log(CONNECTION_UNUSED)
        self.transport.abort()
