"""Define the log records that the report reads, and validate lines of logs.

Fields that the report doesn't know, and events that it doesn't read, are left out, so
that logs of later versions are readable.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, ClassVar

from pydantic import AwareDatetime, Field, TypeAdapter, ValidationError

from wasabispur_core.log_event import (
    EVICTION_ACCOUNTED,
    JOB_ACCEPTED,
    JOB_ENDED,
    JOB_READ_BY_OWNER,
    JOB_REFUSED,
    JOB_UNCERTAIN,
    LogEvent,
    ORDER_WITHDRAWN,
    RECORDS_DROPPED,
    RUN_ENDED,
    UNIT_EVACUATED,
    UNIT_MOVED,
    UNIT_PLACED,
    UNIT_PREEMPTED,
    WORKER_STATE_READ,
)
from wasabispur_core.workload.jobs.unit_stop import WasteCause

VALUE_LIMIT = 1e12
"""Largest number of a record; sums of larger ones might not be finite."""

Finite = Annotated[float, Field(ge=-VALUE_LIMIT, le=VALUE_LIMIT)]
NotNegative = Annotated[float, Field(ge=0, le=VALUE_LIMIT)]
Name = Annotated[str, Field(max_length=300)]


@dataclass(frozen=True, slots=True, kw_only=True)
class LogRecord:
    """Represent the fields of all log records.

    Records of events that the report doesn't read have only these.
    """

    time: AwareDatetime
    event: int


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRecord(LogRecord):
    """Represent a record on one job."""

    job: Name


@dataclass(frozen=True, slots=True, kw_only=True)
class JobTermsRecord(JobRecord):
    """Represent a record that tells to whom a job belongs."""

    queue: Name = ""
    organisation: Name = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobAccepted(JobTermsRecord):
    """Tell that an entry accepted a job, possibly once more."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRead(JobTermsRecord):
    """Tell that the owner read a job, age seconds after its acceptance."""

    age: Finite


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRefused(JobTermsRecord):
    """Tell that a call was refused; cause is set if the load is the reason."""

    reason: str = ""
    cause: Name = ""
    request: Name = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobUncertain(JobTermsRecord):
    """Tell that an entry doesn't know whether a job was accepted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobEnded(JobTermsRecord):
    """Tell how a job ended."""

    state: Name


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPlaced(JobRecord):
    """Tell that a run of a unit was placed."""

    unit: Name
    run: int
    workers: tuple[Name, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitStopped(JobRecord):
    """Tell that the owner stops a run of a unit."""

    cause: ClassVar[WasteCause]
    unit: Name
    run: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPreempted(UnitStopped):
    """Tell that a unit is stopped for another one."""

    cause = WasteCause.PREEMPTED


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitEvacuated(UnitStopped):
    """Tell that a unit is stopped because its worker leaves."""

    cause = WasteCause.EVACUATED


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitMoved(UnitStopped):
    """Tell that a unit is stopped because it makes no progress."""

    cause = WasteCause.STALLED


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderWithdrawn(UnitStopped):
    """Tell that an order was withdrawn because of a cordon."""

    cause = WasteCause.CORDONED


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnded(JobRecord):
    """Tell how a run ended, its times in seconds and its waste in core-seconds."""

    task: Name
    run: int
    worker: Name
    how: Name
    ran: NotNegative = 0.0
    expected: NotNegative = 0.0
    declared: NotNegative = 0.0
    cause: Name = ""
    lost: NotNegative = 0.0
    overhead: NotNegative = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomIdled(JobRecord):
    """Tell for how many core-seconds room that stops freed for a unit stood idle."""

    unit: Name
    idle: NotNegative


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRead(LogRecord):
    """Tell in which data centre a worker is."""

    worker: Name
    data_centre: Name = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsDropped(LogRecord):
    """Tell how many records a process did not write."""

    count: int


class UnreadLine(Enum):
    """Define why a line of a log is not a record.

    INVALID: it is a record of an event that the report reads, with invalid fields.
    """

    NOT_JSON = "not JSON"
    NO_RECORD = "no log record"
    INVALID = "invalid"


RECORD_TYPES: Mapping[LogEvent, type[LogRecord]] = {
    JOB_ACCEPTED: JobAccepted,
    JOB_REFUSED: JobRefused,
    JOB_UNCERTAIN: JobUncertain,
    JOB_READ_BY_OWNER: JobRead,
    JOB_ENDED: JobEnded,
    UNIT_PLACED: UnitPlaced,
    UNIT_PREEMPTED: UnitPreempted,
    UNIT_EVACUATED: UnitEvacuated,
    UNIT_MOVED: UnitMoved,
    ORDER_WITHDRAWN: OrderWithdrawn,
    RUN_ENDED: RunEnded,
    EVICTION_ACCOUNTED: RoomIdled,
    WORKER_STATE_READ: WorkerRead,
    RECORDS_DROPPED: RecordsDropped,
}

OTHER = TypeAdapter(LogRecord)
ADAPTERS: dict[int, TypeAdapter[Any]] = {
    event.number: TypeAdapter(record) for event, record in RECORD_TYPES.items()
}


def parse_line(line: bytes) -> LogRecord | UnreadLine:
    """Return the record in a line, or why there is none."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        return UnreadLine.NOT_JSON
    if not isinstance(value, dict):
        return UnreadLine.NO_RECORD
    try:
        header = OTHER.validate_python(value)
    except ValidationError:
        return UnreadLine.NO_RECORD
    adapter = ADAPTERS.get(header.event)
    if adapter is None:
        return header
    try:
        record: LogRecord = adapter.validate_python(value)
    except ValidationError:
        return UnreadLine.INVALID
    return record
