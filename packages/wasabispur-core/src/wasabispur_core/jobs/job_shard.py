"""Build the component that observes, owns and schedules a shard of jobs.

Every entry instance has one for each shard that it may own.
"""

from __future__ import annotations

from collections.abc import Callable

from ..chart import ChartCatalogue
from ..sharding.ownership import Ownership
from ..sharding.ownership_action import ownership_chart
from ..sharding.shard import Shard
from . import task_report as task_report
from .job import decide, SchedulerState
from .job_action import job_chart
from .job_queue import JobTick


def new_shard(
    entry_id: str,
    shard: str,
    catalogue: ChartCatalogue,
    new_operation_id: Callable[[], str],
) -> Shard:
    """Return a shard that this entry starts to observe."""
    lifecycle = ownership_chart(catalogue).start()
    claim = Ownership(entry_id, shard, lifecycle, new_operation_id)
    jobs = SchedulerState(shard, job_chart(catalogue), claim.lease)
    return Shard(claim, jobs, decide, JobTick())
