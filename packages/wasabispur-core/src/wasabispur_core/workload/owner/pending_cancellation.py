"""Keep the cancellations whose job is not known, and remove their rows after a while.

The job of such a cancellation has yet to be read, or it has no row: the cancellation is
a tombstone then, on whose absence submissions of the job depend. Any entry may renew a
tombstone, so that the owner removes only the version that it has known for long enough.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...command import Command, Transact
from ...storage.store import ABSENT, Condition, Transaction, Write
from ..rows import cancel_key, job_key

TOMBSTONE_RETENTION = 120.0
"""Least time in seconds for which a tombstone stays.

It has to exceed the time for which a submission that began earlier can be under way:
7 s at an entry, 6 s at the table service, and a pause of the entry's instance.
"""

REMOVAL_INTERVAL = 10.0
"""Seconds after which a removal that no feed has confirmed is sent again."""

REMOVALS_PER_TICK = 10
"""Removals that one tick sends, so that other writes don't wait."""


@dataclass(slots=True)
class PendingCancellation:
    """Represent a cancellation row without a job.

    remove_at is in monotonic seconds of this process. It counts from when the owner
    read the row, so that no other clock and no pause of the owner makes it too early.
    removing is set while a removal is under way.
    """

    version: int
    remove_at: float
    removing: bool = False


@dataclass(slots=True)
class PendingCancellations:
    """Represent the cancellations without a job that the owner has read, by job id."""

    by_job: dict[str, PendingCancellation] = field(default_factory=dict)

    def add(self, job_id: str, version: int, now: float) -> bool:
        """Keep a cancellation that was read, and return whether it is a new one."""
        known = self.by_job.get(job_id)
        if known is not None and known.version == version:
            known.removing = False
            return False
        remove_at = now + TOMBSTONE_RETENTION
        self.by_job[job_id] = PendingCancellation(version, remove_at)
        return known is None

    def pop(self, job_id: str) -> bool:
        """Drop a cancellation, and return whether there was one."""
        return self.by_job.pop(job_id, None) is not None

    def drop_removed(self) -> None:
        """Drop what is being removed, and was not among the rows of a complete read."""
        for job_id in [one for one, row in self.by_job.items() if row.removing]:
            del self.by_job[job_id]

    def clear(self) -> None:
        """Drop all cancellations."""
        self.by_job.clear()

    def remove_due(self, epoch: int, now: float) -> list[Command]:
        """Return the commands that remove rows that are older than the retention."""
        due = [one for one, row in self.by_job.items() if row.remove_at <= now]
        commands: list[Command] = []
        for job_id in due[:REMOVALS_PER_TICK]:
            row = self.by_job[job_id]
            row.remove_at = now + REMOVAL_INTERVAL
            row.removing = True
            commands.append(_removal(job_id, row.version, epoch))
        return commands


def _removal(job_id: str, version: int, epoch: int) -> Command:
    """Return the command that removes a row, unless it was renewed or has a job."""
    key = cancel_key(job_id)
    return Transact(
        transaction=Transaction(
            operation_id=f"{epoch}:{version}:{key}",
            conditions=(
                Condition(key=key, version=version),
                Condition(key=job_key(job_id), version=ABSENT),
            ),
            writes=(Write(key=key, value=None),),
        )
    )
