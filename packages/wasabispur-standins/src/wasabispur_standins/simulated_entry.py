"""Simulate an entry instance that accepts or rejects jobs by the fleet's load."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import Command
from wasabispur_core.sharding.ownership import WriteRow
from wasabispur_core.workload.admission.admission import Candidate, find_rejection
from wasabispur_core.workload.admission.load_knowledge import (
    LoadArrived,
    LoadNeeded,
    new_load_knowledge,
)
from wasabispur_core.workload.admission.load_row import FleetLoad, load_key
from wasabispur_core.workload.jobs.spec import JobSpec
from wasabispur_core.workload.policies.policy import FleetPolicy
from wasabispur_core.workload.rows import unpack

FEED_DELAY = 0.05
"""Seconds from the owner's decision to write the load until an entry has read it."""


class SimulatedEntry:
    """Represent an entry that knows the load as it was published last."""

    def __init__(self) -> None:
        self.knowledge = new_load_knowledge(ChartCatalogue())

    def read(self, load: FleetLoad, now: float) -> None:
        """Deliver a published load."""
        self.knowledge.follow(LoadArrived(load=load, store_time=now), now)

    def accepts(self, spec: JobSpec, policy: FleetPolicy, now: float) -> bool:
        """Return whether a new job is accepted."""
        self.knowledge.follow(LoadNeeded(), now)
        if not self.knowledge.known:
            return True
        candidate = Candidate(
            job_id=spec.job_id,
            queue=spec.queue,
            organisation=spec.organisation,
            terms=policy.queues[spec.queue].terms,
            steps=spec.steps,
            guaranteed=policy.guaranteed_accelerators(spec.organisation),
            delayed=bool(spec.repeats),
        )
        load, age = self.knowledge.load, self.knowledge.age(now)
        return find_rejection(candidate, load, age) is None


def published_loads(commands: Iterable[Command]) -> Iterator[FleetLoad]:
    """Return the loads that are written by commands."""
    for command in commands:
        if isinstance(command, WriteRow) and command.key == load_key():
            yield unpack(FleetLoad, command.value).unwrap()
