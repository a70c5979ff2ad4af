"""Define the settings of an agent beside an endpoint or a worker."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from wasabispur_core.protocol import Role
from wasabispur_runtime.settings import Settings
from wasabispur_runtime.signature import OperatorKeys

Address = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]


class AgentSettings(Settings):
    """Define the settings of one agent.

    entries are the control addresses of the entry instances. entry_regions maps
    these addresses to regions, and near_entries is how many of them receive frequent
    heartbeats. local_url is the address of the endpoint or worker, slots is the
    number of attempts that it serves at once, and memory is in bytes.
    """

    agent_id: Annotated[str, Field(min_length=1, max_length=64)]
    role: Role
    region: Annotated[str, Field(min_length=1)]
    data_centre: Annotated[str, Field(min_length=1)]
    rack: str = ""
    entries: Annotated[list[Address], Field(min_length=1, max_length=64)]
    entry_regions: dict[Address, str] = Field(default_factory=dict, max_length=64)
    near_entries: Annotated[int, Field(ge=1, le=64)] = 2
    local_url: Annotated[str, Field(pattern=r"^http://")]
    service: str = ""
    slots: Annotated[int, Field(ge=0, le=1024)] = 8
    connections: Annotated[int, Field(ge=1, le=1024)] = 60
    accelerators: Annotated[int, Field(ge=0, le=1024)] = 0
    cores: Annotated[int, Field(ge=0)] = 0
    memory: Annotated[int, Field(ge=0)] = 0
    operators: OperatorKeys = []
    log_level: str = "INFO"

    @model_validator(mode="after")
    def check_role(self) -> AgentSettings:
        """Require the name of the service for an agent beside an endpoint."""
        if self.role is Role.ENDPOINT and not self.service:
            raise ValueError("service must be set for an agent beside an endpoint")
        return self
