"""Process callers' calls about jobs at an entry instance."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

from wasabispur_core.command import SendToEntry
from wasabispur_core.jobs.job_call import (
    AnswerCall,
    decide,
    JobCall,
    JobCallState,
    NotifyOwner,
    RecordsRead,
)
from wasabispur_core.storage.store import RowsRead
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute

from .bridge import Ask
from .job_rows import read_guarantees, read_record


class JobFrontend(DecisionActor):
    """Process callers' calls about jobs and complete their futures."""

    def __init__(
        self,
        timers: TimerService,
        table: Actor,
        membership: Actor,
        schedulers: dict[str, Actor],
    ) -> None:
        super().__init__("job-frontend", timers, JobCallState(), decide)
        self.table = table
        self.membership = membership
        self.schedulers = schedulers
        self.waiting: dict[str, Future[Any]] = {}

    def on_ask(self, message: Ask) -> None:
        """Process a call and keep the future for its answer."""
        call = message.message
        if isinstance(call, JobCall):
            self.waiting[call.call_id] = message.reply
            self.on_message(call)

    def on_rows_read(self, message: RowsRead) -> None:
        """Validate the rows that a call needs and process the valid ones."""
        guarantee_rows = [
            row for row in message.rows if row.key.startswith("guarantee/")
        ]
        rows = [
            row
            for row in message.rows
            if row not in guarantee_rows and not row.key.endswith("/cancel")
        ]
        records = [read_record(row) for row in rows]
        self.on_message(
            RecordsRead(
                read_id=message.read_id,
                records=tuple(record for record in records if record is not None),
                guarantees=read_guarantees(guarantee_rows),
            )
        )


@execute.register
def _(command: AnswerCall, actor: JobFrontend) -> None:
    reply = actor.waiting.pop(command.call_id, None)
    if reply is not None and not reply.done():
        reply.set_result(command)


@execute.register
def _(command: NotifyOwner, actor: JobFrontend) -> None:
    scheduler = actor.schedulers.get(command.shard)
    if scheduler is not None:
        scheduler.post(command.message)
    actor.membership.post(SendToEntry(entry_id="", message=command.message))
