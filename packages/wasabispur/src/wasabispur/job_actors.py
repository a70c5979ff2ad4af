"""Build and connect the actors for jobs of an entry instance."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from uuid import uuid4

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.jobs.job_shard import new_shard
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor

from .entry_settings import EntrySettings
from .job_frontend import JobFrontend
from .job_scheduler import JobScheduler
from .membership import Membership


@dataclass(slots=True)
class JobActors:
    """Group the job frontend and one scheduler per shard."""

    frontend: JobFrontend
    schedulers: dict[str, Actor]

    def start(self) -> None:
        """Start the frontend and the schedulers."""
        for actor in (self.frontend, *self.schedulers.values()):
            actor.start()

    async def close(self) -> None:
        """Stop the frontend, then the schedulers."""
        await self.frontend.close()
        await asyncio.gather(*(actor.close() for actor in self.schedulers.values()))


def build_job_actors(
    settings: EntrySettings, timers: TimerService, membership: Membership, table: Actor
) -> JobActors:
    """Return the job actors and connect the schedulers to the membership."""
    catalogue = ChartCatalogue()
    schedulers: dict[str, Actor] = {}
    for name in settings.shards or [settings.data_centre]:
        shard = new_shard(settings.entry_id, name, catalogue, lambda: uuid4().hex)
        schedulers[name] = JobScheduler(timers, shard, membership, table)
    membership.schedulers = schedulers
    return JobActors(JobFrontend(timers, table, membership, schedulers), schedulers)
