"""Forward messages about attached workers to the schedulers at an entry instance."""

from __future__ import annotations

from typing import Any

from wasabispur_core.jobs.fleet import (
    Worker,
    WorkerAttached,
    WorkerDetached,
    WorkerLeaving,
)
from wasabispur_core.message import Message
from wasabispur_core.protocol import Announce, Role

FLEET_CHANGES = (WorkerAttached, WorkerDetached, WorkerLeaving)
"""Messages that change which guarantees can be packed."""


def worker_attached(announce: Announce) -> WorkerAttached:
    """Return the scheduler's message for a worker whose agent attached."""
    worker = Worker(
        worker_id=announce.agent_id,
        region=announce.region,
        data_centre=announce.data_centre,
        rack=announce.rack,
        accelerators=announce.accelerators,
        cores=announce.cores,
        memory=announce.memory,
    )
    return WorkerAttached(worker=worker, clock=announce.clock)


def forward_to_scheduler(announce: Announce, message: Message, membership: Any) -> None:
    """Send a message about a worker to the scheduler of its data centre.

    Messages that change the fleet also go to the manager of bundle changes. Agents
    with another role are ignored.
    """
    if announce.role is not Role.WORKER:
        return
    scheduler = membership.schedulers.get(announce.data_centre)
    if scheduler is not None:
        scheduler.post(message)
    if membership.changes is not None and isinstance(message, FLEET_CHANGES):
        membership.changes.post(message)


def forward_from_agent(agent_id: str, message: Message, membership: Any) -> None:
    """Send a message about an attached worker to its scheduler."""
    session = membership.sessions.get(agent_id)
    if session is not None:
        forward_to_scheduler(session.announce, message, membership)
