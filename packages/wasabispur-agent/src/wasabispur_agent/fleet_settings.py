"""Define the settings of an agent of the workload plane."""

from __future__ import annotations

from dataclasses import dataclass

from wasabispur_core.workload.agent.runner_state import HealthTimes, LeaseTimes

DEFAULT_HEALTH_TIMES = HealthTimes(interval=0.5, timeout=0.4)
"""Interval and timeout in seconds with which a turn of 1.4 s of a flap is seen."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetAgentSettings:
    """Define an agent's settings; addresses have the form host:port.

    cordons and health_checks are set if the deployment uses these features, for which
    the agent reads the operators' rows. health_times applies to the health checks.
    """

    agent_id: str
    store_url: str
    control_address: str
    metrics_address: str
    lease_times: LeaseTimes
    cordons: bool = False
    health_checks: bool = False
    health_times: HealthTimes = DEFAULT_HEALTH_TIMES
    log_level: str = "INFO"

    @property
    def follows_operators(self) -> bool:
        """Return whether the agent reads the operators' rows."""
        return self.cordons or self.health_checks
