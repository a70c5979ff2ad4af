"""Define the settings of an agent of the workload plane."""

from __future__ import annotations

from dataclasses import dataclass

from wasabispur_core.workload.runner_state import LeaseTimes


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetAgentSettings:
    """Define an agent's settings; addresses have the form host:port."""

    agent_id: str
    store_url: str
    control_address: str
    metrics_address: str
    lease_times: LeaseTimes
    log_level: str = "INFO"
