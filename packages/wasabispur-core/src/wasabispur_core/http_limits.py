"""Define the limits of HTTP servers and derive them from a process's resources."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .error import SettingsError
from .http_budget import http_budget, LEAST_BUFFER_BYTES, MIB
from .limit import BODY_LIMIT_BYTES

PUBLISHED_HEADER_BYTES = 16_384
PUBLISHED_BODY_BYTES = 262_144
PUBLISHED_HEADER_TIME = 3.0
PUBLISHED_IDLE_TIME = 15.0
"""What clients may use; a limit below one of these would refuse permitted requests."""

FILE_DESCRIPTORS = 200
"""Descriptors that a deployment reserves for files."""

SIDE_DIVISOR = 16
"""Divisor of the budgets for a readiness or metrics server.

The main server has the rest.
"""

FRAMING_PER_BYTE = 16
"""Bytes beside its content that a chunked body may have for each byte of content.

A chunk of one byte has at least five.
"""

MIN_CONNECTIONS = 16
"""Connections that each server can always have."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Define the limits of one HTTP server; times are in seconds.

    connections is the number of open connections, of which reserved_share (a part of
    one) is kept for addresses with fewer than few_connections. buffer_bytes bounds the
    received bytes of all requests without a response. waiting is the number of complete
    requests that wait for a thread. header_bytes, fields and body_bytes bound one
    request. framing_bytes bounds what a chunked body has beside its content, together
    with FRAMING_PER_BYTE for each byte of content. header_time is the time for a
    header, grace_time that for a body or a response beside its bytes at min_rate (bytes
    per second), idle_time the lifetime of an idle connection. linger_time and
    linger_bytes bound what is read after a refusal.
    """

    connections: int = 1024
    reserved_share: float = 0.125
    few_connections: int = 8
    buffer_bytes: int = 32 * MIB
    waiting: int = 128
    header_bytes: int = 20 * 1024
    fields: int = 256
    body_bytes: int = BODY_LIMIT_BYTES
    framing_bytes: int = 32 * 1024
    header_time: float = 5.0
    grace_time: float = 10.0
    min_rate: float = 16 * 1024
    idle_time: float = 20.0
    linger_time: float = 2.0
    linger_bytes: int = MIB

    @property
    def crowded_limit(self) -> int:
        """Return the connections that are open to addresses with many of them."""
        return self.connections - int(self.connections * self.reserved_share)


def check_limits(limits: HttpLimits) -> HttpLimits:
    """Return the limits; raise SettingsError if they refuse permitted requests."""
    minimums = {
        "connections": MIN_CONNECTIONS,
        "header_bytes": PUBLISHED_HEADER_BYTES,
        "body_bytes": PUBLISHED_BODY_BYTES,
        "framing_bytes": PUBLISHED_HEADER_BYTES,
        "header_time": PUBLISHED_HEADER_TIME,
        "grace_time": PUBLISHED_HEADER_TIME,
        "idle_time": PUBLISHED_IDLE_TIME,
        "buffer_bytes": 2 * (limits.body_bytes + limits.header_bytes),
        "fields": 1,
        "waiting": 1,
        "min_rate": 1,
    }
    for name, minimum in minimums.items():
        if getattr(limits, name) < minimum:
            raise SettingsError(
                f"limit {name} of the HTTP servers is {getattr(limits, name)}, "
                f"below {minimum}",
                f"raise http.{name}, or limits.memory_mb or limits.max_fds if they "
                "determine it",
            )
    return limits


def main_limits(
    limits: HttpLimits,
    memory_mb: int,
    descriptors: int,
    side_servers: int,
    least_buffer_bytes: int = LEAST_BUFFER_BYTES,
) -> HttpLimits:
    """Return the limits of a process's main server; raise SettingsError.

    descriptors is the number of those for sockets.
    """
    budget = http_budget(memory_mb, descriptors, least_buffer_bytes)
    side = side_limits(limits, memory_mb, descriptors)
    return check_limits(
        replace(
            limits,
            connections=budget.connections - side_servers * side.connections,
            buffer_bytes=budget.buffer_bytes - side_servers * side.buffer_bytes,
        )
    )


def side_limits(limits: HttpLimits, memory_mb: int, descriptors: int) -> HttpLimits:
    """Return the limits of a server for readiness checks or metrics."""
    budget = http_budget(memory_mb, descriptors)
    return check_limits(
        replace(
            limits,
            connections=max(budget.connections // SIDE_DIVISOR, MIN_CONNECTIONS),
            buffer_bytes=budget.buffer_bytes // SIDE_DIVISOR,
            body_bytes=PUBLISHED_BODY_BYTES,
        )
    )
