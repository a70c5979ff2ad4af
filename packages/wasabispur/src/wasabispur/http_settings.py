"""Define the settings of the HTTP servers' limits and of the resources behind them."""

from __future__ import annotations

import resource
from typing import Annotated

from pydantic import Field

from wasabispur_core.error import SettingsError
from wasabispur_core.http_budget import CLIENT_DESCRIPTORS, LEAST_CONNECTIONS
from wasabispur_core.http_limits import (
    check_limits,
    FILE_DESCRIPTORS,
    HttpLimits,
    main_limits,
)
from wasabispur_runtime.settings import Settings

DEFAULT_LIMITS = HttpLimits()
DEFAULT_MEMORY_MB = 200
"""Memory of a process in MB if the settings file does not state it."""

UNLIMITED_DESCRIPTORS = 65_536
"""Descriptors that are assumed where the operating system sets no limit."""

SESSION_MB = 0.05
"""Memory of an attached agent in an entry; docs/CAPACITY.md has the measured value."""

SESSION_MEMORY_SHARE = 0.5
"""Share of the memory that attached agents may take."""


class LimitSettings(Settings):
    """Define the resources that the process may use.

    max_fds is the number of descriptors, of which some are reserved for files.
    """

    memory_mb: Annotated[int, Field(gt=0)] = DEFAULT_MEMORY_MB
    max_fds: Annotated[int, Field(gt=0)] | None = None

    @property
    def descriptors(self) -> int:
        """Return the number of descriptors for sockets.

        Only a stated max_fds includes those that are reserved for files.
        """
        in_force = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if in_force == resource.RLIM_INFINITY:
            in_force = UNLIMITED_DESCRIPTORS
        if self.max_fds is None:
            return in_force
        return min(self.max_fds - FILE_DESCRIPTORS, in_force)


class HttpSettings(Settings):
    """Define the limits of HTTP requests; HttpLimits describes them."""

    waiting: int = DEFAULT_LIMITS.waiting
    header_bytes: int = DEFAULT_LIMITS.header_bytes
    fields: int = DEFAULT_LIMITS.fields
    framing_bytes: int = DEFAULT_LIMITS.framing_bytes
    header_time: float = DEFAULT_LIMITS.header_time
    grace_time: float = DEFAULT_LIMITS.grace_time
    min_rate: float = DEFAULT_LIMITS.min_rate
    idle_time: float = DEFAULT_LIMITS.idle_time


def entry_http_limits(
    http: HttpSettings,
    resources: LimitSettings | None,
    control_connections: int,
    session_limit: int,
) -> HttpLimits:
    """Return the limits of an entry's server beside its control port.

    Raise SettingsError if they contradict each other or exceed the resources. Without
    stated resources the server has its default budgets.
    """
    limits = HttpLimits(**http.model_dump())
    if resources is None:
        return check_limits(limits)
    descriptors = resources.descriptors - control_connections
    least = LEAST_CONNECTIONS + CLIENT_DESCRIPTORS
    if descriptors < least:
        raise SettingsError(
            f"{resources.descriptors} descriptors for sockets are fewer than the "
            f"{control_connections} for session_limit = {session_limit} and the {least} "
            "that the HTTP server needs",
            "lower session_limit, or raise limits.max_fds and the operating system's "
            "limit",
        )
    most = int(resources.memory_mb * SESSION_MEMORY_SHARE / SESSION_MB)
    if session_limit > most:
        raise SettingsError(
            f"session_limit is {session_limit}, but {resources.memory_mb} MB of memory "
            f"suffice for {most} agents",
            "lower session_limit or raise limits.memory_mb",
        )
    return main_limits(
        limits,
        resources.memory_mb - int(session_limit * SESSION_MB),
        descriptors,
        side_servers=0,
        least_buffer_bytes=2 * (limits.body_bytes + limits.header_bytes),
    )
