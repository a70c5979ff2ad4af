"""Send messages that stop short on many streams of the control port, for tests."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from threading import Event

from h2.connection import H2Connection
from h2.exceptions import H2Error

from wasabispur_core.protocol import FRAME_LIMIT_BYTES
from wasabispur_runtime.stream import ATTACH_METHOD

from .chunked_crowd import CROWD_TIME, SAMPLE_INTERVAL

CONNECTIONS = 16
STREAMS = 20
READ_BYTES = 65_536
WAIT = 0.01
"""Seconds to wait for permission to send more."""

PREFIX = struct.pack(">?I", False, FRAME_LIMIT_BYTES)
"""Begin of an uncompressed message of the greatest permitted length."""

HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", ATTACH_METHOD),
    (":authority", "a"),
    ("content-type", "application/grpc+msgpack"),
    ("te", "trailers"),
]


class MessageClient:
    """Send the longest message on each of many streams, without its last byte."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), CROWD_TIME)
        self.protocol = H2Connection()
        self.protocol.initiate_connection()
        self.remaining = dict.fromkeys(
            range(1, 2 * STREAMS, 2), len(PREFIX) + FRAME_LIMIT_BYTES - 1
        )

    def run(self, stopped: Event) -> None:
        """Send as flow control permits, and keep the connection open."""
        with suppress(OSError, H2Error):
            for stream in self.remaining:
                self.protocol.send_headers(stream, HEADERS)
                self._send(stream, PREFIX)
            self.socket.settimeout(WAIT)
            while not stopped.is_set():
                self._receive()
                for stream in self.remaining:
                    self._send_content(stream)
        stopped.wait()
        self.socket.close()

    def _send_content(self, stream: int) -> None:
        with suppress(H2Error):
            window = self.protocol.local_flow_control_window(stream)
            size = min(
                window, self.protocol.max_outbound_frame_size, self.remaining[stream]
            )
            if size > 0:
                self._send(stream, bytes(size))

    def _send(self, stream: int, content: bytes) -> None:
        self.protocol.send_data(stream, content)
        self.remaining[stream] -= len(content)
        self.socket.settimeout(CROWD_TIME)
        self.socket.sendall(self.protocol.data_to_send())
        self.socket.settimeout(WAIT)

    def _receive(self) -> None:
        with suppress(TimeoutError):
            data = self.socket.recv(READ_BYTES)
            if not data:
                raise ConnectionError
            self.protocol.receive_data(data)


def run_message_crowd(port: int, sample: Callable[[], None]) -> None:
    """Send from all connections at once, and call sample all the while."""
    stopped = Event()
    with ThreadPoolExecutor(CONNECTIONS) as pool:
        for _ in range(CONNECTIONS):
            pool.submit(MessageClient(port).run, stopped)
        end = time.monotonic() + CROWD_TIME
        while time.monotonic() < end:
            sample()
            time.sleep(SAMPLE_INTERVAL)
        stopped.set()
