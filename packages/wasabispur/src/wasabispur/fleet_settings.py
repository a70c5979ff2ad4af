"""Define the settings of an entry of the workload plane."""

from __future__ import annotations

from dataclasses import dataclass

from wasabispur_core.workload.runner_state import LeaseTimes


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetEntrySettings:
    """Define an entry's settings; addresses are host:port, grace is in seconds."""

    entry_id: str
    data_centre: str
    store_url: str
    front_address: str
    ready_address: str
    metrics_address: str
    lease_times: LeaseTimes
    grace: float
    log_level: str = "INFO"
