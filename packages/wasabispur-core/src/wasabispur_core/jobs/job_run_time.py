"""Expect the run times of jobs by the model that the workload plane's owner uses.

The scheduler of the shard's owner uses them for reservations and backfill. A job is
taken for one task, and its class for the queue.
"""

from __future__ import annotations

from ..workload.run_times.run_time import RunGroup, RunKind, RunOutcome, RunTimeModel
from .job_record import JobRecord

UNKNOWN_RUN_TIME = 3600.0
"""Expected seconds of a job that has neither an estimate nor a history."""


def new_run_times() -> RunTimeModel:
    """Return a model that has seen no job."""
    return RunTimeModel(default=UNKNOWN_RUN_TIME)


def record_job(run_times: RunTimeModel, record: JobRecord, seconds: float) -> None:
    """Learn the run time of a completed job."""
    run_times.record(job_kind(record), seconds, RunOutcome.COMPLETED)
    run_times.refresh()


def job_kind(record: JobRecord) -> RunKind:
    """Return the kind of a job, by which its run time is expected."""
    spec = record.spec
    accelerators = spec.accelerators.bit_length()
    group = RunGroup(spec.work_class, spec.organisation, accelerators, spec.tasks > 1)
    return RunKind(group, record.job_id, spec.estimate)
