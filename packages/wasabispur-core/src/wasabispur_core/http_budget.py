"""Divide a process's memory between all that its HTTP clients can make it hold."""

from __future__ import annotations

from dataclasses import dataclass

KIB = 1024
MIB = 1024 * KIB

CLIENT_DESCRIPTORS = 64
"""Descriptors for the calls of the process itself, its event loops and its logs."""

PROCESS_BYTES = 64 * MIB
"""Memory of a process without clients, with what it holds for its own work."""

DECODED_BYTES = 24 * MIB
"""Memory of one body while it is decoded; bodies are decoded one at a time."""

RECEIVE_BUFFER_BYTES = 8 * KIB
"""Receive buffer of a connection, of which the operating system allots twice as much.

What it holds counts as memory of the process, also before the connection is accepted.
"""

UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
"""Most bytes of a connection that were received and not yet read."""

CONNECTION_OBJECT_BYTES = 12 * KIB
"""Memory of a connection's own objects, and of its parsers within a request."""

CONNECTION_BYTES = CONNECTION_OBJECT_BYTES + UNREAD_BYTES

CONNECTION_QUEUE_SIZE = 128
"""Connections that the operating system holds until a server accepts them.

Beyond that it drops the first packet of a connection, which its client sends again
only after a second.
"""

SERVERS = 3
"""Most HTTP servers of a process."""

QUEUE_BYTES = SERVERS * CONNECTION_QUEUE_SIZE * UNREAD_BYTES
"""Unread bytes of the connections that are not yet accepted."""

BUFFER_SHARE = 0.3
BUFFER_DIVISOR = 8
"""Bounds of the received bytes: a share of the clients' memory, and of all memory."""

LEAST_CONNECTIONS = 64
LEAST_BUFFER_BYTES = 10 * MIB
"""Budgets of a process that is said to have very few descriptors or little memory.

It starts nevertheless, because it may still work under light load.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpBudget:
    """Describe what the clients of all HTTP servers of a process may take.

    connections is the number of open connections. buffer_bytes bounds the received
    bytes of requests, and as many bytes of responses that clients have not taken.
    """

    connections: int
    buffer_bytes: int

    @property
    def total_bytes(self) -> int:
        """Return the memory of the process if clients take all that they may."""
        return (
            PROCESS_BYTES
            + DECODED_BYTES
            + QUEUE_BYTES
            + self.connections * CONNECTION_BYTES
            + 2 * self.buffer_bytes
        )


def http_budget(
    memory_mb: int, descriptors: int, least_buffer_bytes: int = LEAST_BUFFER_BYTES
) -> HttpBudget:
    """Return the budget that fits into the memory and the descriptors for sockets."""
    memory = memory_mb * MIB
    available = memory - PROCESS_BYTES - DECODED_BYTES - QUEUE_BYTES
    share = min(int(available * BUFFER_SHARE), memory // BUFFER_DIVISOR)
    buffer_bytes = max(share, least_buffer_bytes)
    connections = min(
        descriptors - CLIENT_DESCRIPTORS,
        (available - 2 * buffer_bytes) // CONNECTION_BYTES,
    )
    return HttpBudget(
        connections=max(connections, LEAST_CONNECTIONS), buffer_bytes=buffer_bytes
    )
