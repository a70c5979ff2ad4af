"""Define the settings of an entry of the workload plane."""

from __future__ import annotations

from dataclasses import dataclass

from wasabispur_core.workload.agent.runner_state import LeaseTimes
from wasabispur_core.workload.jobs.stop_times import DEFAULT_STOP_TIMES, StopTimes
from wasabispur_core.workload.planning.plan import DEFAULT_REMOTE_FACTOR
from wasabispur_core.workload.run_times.run_time import EstimateUse


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetEntrySettings:
    """Define an entry's settings; addresses are host:port, grace is in seconds.

    remote_factor is how many times as long a task takes away from its preferred rack,
    and estimate_use for what learned run times are used in place of declared estimates.
    cordons is set if the deployment uses cordons of data centres. stop_times is how
    long stops and restarts of runs take. With admission_control, new jobs are rejected
    that the load would delay until they have no value. With fair_shares, units
    wait by the shares of their organisations. With worker_speeds, the owner learns how
    fast workers are, if it learns run times.
    """

    entry_id: str
    data_centre: str
    store_url: str
    front_address: str
    ready_address: str
    metrics_address: str
    lease_times: LeaseTimes
    grace: float
    remote_factor: float = DEFAULT_REMOTE_FACTOR
    cordons: bool = False
    estimate_use: EstimateUse = EstimateUse.ALL
    stop_times: StopTimes = DEFAULT_STOP_TIMES
    admission_control: bool = False
    fair_shares: bool = False
    worker_speeds: bool = True
    log_level: str = "INFO"
