"""Write the row of a submitted job."""

from __future__ import annotations

from ...command import Command
from ...storage.store import ABSENT, Condition, Write
from ..jobs.spec import JobSpec
from ..rows import job_key, pack
from .intake_message import SubmitJob
from .intake_state import conditional_write, IntakeState, PendingCall


def write_job(
    call: PendingCall, message: SubmitJob, state: IntakeState, now: float
) -> Command:
    """Return the command that writes the job's row, unless there is one."""
    spec = JobSpec(
        job_id=call.job_id,
        queue=call.queue.name,
        organisation=call.organisation,
        payload=message.payload,
        steps=message.steps,
        accepted_at=now + state.store_offset,
        repeats=message.repeats,
        repeat_interval=message.repeat_interval,
        start_at=message.start_at,
        terms=call.queue.terms,
    )
    key = job_key(call.job_id)
    return conditional_write(
        call,
        state,
        (Condition(key=key, version=ABSENT),),
        Write(key=key, value=pack(spec)),
    )
