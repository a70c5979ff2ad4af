"""Define the settings of an entry instance."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from wasabispur_core.http_limits import HttpLimits
from wasabispur_core.membership.heartbeat_policy import HeartbeatIntervals
from wasabispur_runtime.settings import Settings
from wasabispur_runtime.signature import OperatorKeys

from .http_settings import entry_http_limits, HttpSettings, LimitSettings

Port = Annotated[int, Field(ge=1, le=65535)]

SPARE_CONNECTIONS = 64
"""Connections to the control port beyond the session limit.

They are for peers and for streams being opened.
"""


class EntrySettings(Settings):
    """Define the settings of one entry instance; durations are in seconds."""

    entry_id: Annotated[str, Field(min_length=1, max_length=64)]
    region: Annotated[str, Field(min_length=1)]
    data_centre: Annotated[str, Field(min_length=1)]
    host: str = "127.0.0.1"
    http_port: Port
    control_port: Port
    http_threads: Annotated[int, Field(ge=1, le=1000)] = 64
    heartbeat_interval: Annotated[float, Field(ge=0.01, le=60)] = 1.0
    worker_heartbeat_interval: Annotated[float, Field(ge=0.01, le=60)] = 5.0
    far_heartbeat_interval: Annotated[float, Field(ge=0.01, le=60)] = 30.0
    session_limit: Annotated[int, Field(ge=1, le=10_000)] = 2_000
    table_url: Annotated[str, Field(pattern=r"^http://")] | None = None
    shards: list[str] = Field(default_factory=list, max_length=64)
    operators: OperatorKeys = []
    limits: LimitSettings | None = None
    http: HttpSettings = HttpSettings()
    advertised_address: str = ""
    log_level: str = "INFO"

    @property
    def control_address(self) -> str:
        """Return the address at which other processes reach the control port."""
        return self.advertised_address or f"{self.host}:{self.control_port}"

    @property
    def control_connections(self) -> int:
        """Return the number of connections that the control port accepts."""
        return self.session_limit + SPARE_CONNECTIONS

    @property
    def http_limits(self) -> HttpLimits:
        """Return the limits of the HTTP server; raise SettingsError."""
        return entry_http_limits(
            self.http, self.limits, self.control_connections, self.session_limit
        )

    @property
    def intervals(self) -> HeartbeatIntervals:
        """Return the heartbeat intervals by kind of agent."""
        return HeartbeatIntervals(
            endpoint=self.heartbeat_interval,
            near_worker=self.worker_heartbeat_interval,
            far_worker=self.far_heartbeat_interval,
        )
