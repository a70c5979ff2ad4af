"""Define the row keys of jobs, orders and reports, and convert row values.

Entry instances and agents exchange these rows through the table service. Values are
validated when they are read.
"""

from __future__ import annotations

from dataclasses import Field, fields, is_dataclass, MISSING
from enum import Enum
from functools import cache
from typing import Any, TypeVar
from zlib import crc32

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from ..error import ProtocolError
from .jobs.occurrence import PageId
from .row_check import row_problem

SHARD = "main"
"""The only shard, because gangs, guarantees and priorities span all workers."""

JOB_TABLE = "job"
ORDER_TABLE_COUNT = 32
"""Number of tables over which the orders rows are distributed."""

PROGRESS_TABLE = "progress"
UNIT_TABLE = "unit"
QUEUE_TABLE = "queue"
REPORT_TABLE = "report"
ROWS_SCHEMA = 2
"""Version of the shard's rows: the units of jobs are stored in pages.

An entry instance of an earlier version must not own the shard, since it would take the
jobs for not started.
"""

REPORT_PART_COUNT = 8
"""Number of store parts over which reports are distributed.

The store limits the rate of each part separately.
"""

CANCEL_SUFFIX = ".cancel"

PLAIN_TYPES = frozenset((str, int, float, bool))
"""Types of field values that a row holds unchanged."""

T = TypeVar("T")


def job_prefix() -> str:
    """Return the prefix of the rows of accepted jobs and their cancellations."""
    return f"{JOB_TABLE}/{SHARD}/"


def job_key(job_id: str) -> str:
    """Return the key of an accepted job's row."""
    return f"{job_prefix()}{job_id}"


def cancel_key(job_id: str) -> str:
    """Return the key of a job's cancellation row."""
    return job_key(job_id) + CANCEL_SUFFIX


def progress_prefix() -> str:
    """Return the prefix of the progress rows of all jobs."""
    return f"{PROGRESS_TABLE}/{SHARD}/"


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress row."""
    return progress_prefix() + job_id


def unit_page_prefix() -> str:
    """Return the prefix of the pages with the units of all jobs."""
    return f"{UNIT_TABLE}/{SHARD}/"


def unit_page_key(job_id: str, page: PageId) -> str:
    """Return the key of a page of a job's units."""
    return f"{unit_page_prefix()}{job_id}.{page.occurrence}.{page.step}.{page.number}"


def parse_unit_page(name: str) -> tuple[str, PageId]:
    """Return the job and the page that the last part of a key names.

    Raise ValueError if it names none.
    """
    job_id, occurrence, step, number = name.rsplit(".", 3)
    return job_id, PageId(int(occurrence), int(step), int(number))


def job_of_row(key: str) -> str:
    """Return the id of the job whose progress or units a row holds, or nothing."""
    table, _, rest = key.partition("/")
    name = rest.partition("/")[2]
    if table == PROGRESS_TABLE:
        return name
    return parse_unit_page(name)[0] if table == UNIT_TABLE else ""


def queue_counts_key() -> str:
    """Return the key of the row with the number of waiting jobs by queue."""
    return f"{QUEUE_TABLE}/{SHARD}/waiting"


def order_table(agent_id: str) -> str:
    """Return the name of the table with the orders for an agent's workers."""
    return f"orders-{crc32(agent_id.encode()) % ORDER_TABLE_COUNT:02}"


def order_prefix(agent_id: str) -> str:
    """Return the prefix of the orders rows in an agent's table."""
    return f"{order_table(agent_id)}/{SHARD}/"


def order_key(agent_id: str, worker_id: str) -> str:
    """Return the key of a worker's orders row."""
    return order_prefix(agent_id) + worker_id


def report_prefixes() -> list[str]:
    """Return the prefixes of the report rows, one for each store part."""
    return [f"{REPORT_TABLE}/r{part}/" for part in range(REPORT_PART_COUNT)]


def report_key(worker_id: str) -> str:
    """Return the key of a worker's report row."""
    return report_prefixes()[crc32(worker_id.encode()) % REPORT_PART_COUNT] + worker_id


def pack(value: Any) -> dict[str, Any]:
    """Convert a dataclass to a row value, omitting fields with their default value."""
    row: dict[str, Any] = {}
    kind: Any = type(value)
    for name, default in _fields_with_defaults(kind):
        item = getattr(value, name)
        if item != default:
            row[name] = _packed(item)
    return row


def unpack(kind: type[T], value: Any) -> Result[T, ProtocolError]:
    """Validate a row value and convert it to a dataclass."""
    key: Any = kind
    try:
        decoded = _validator(key).validate_python(value)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        return _refusal(f"{first['loc']}: {first['msg']}")
    problem = row_problem(decoded)
    return _refusal(problem) if problem else Success(decoded)


def _refusal(problem: str) -> Failure[ProtocolError]:
    return Failure(ProtocolError(problem, "remove the row, or upgrade this process"))


@cache
def _validator(kind: type[Any]) -> TypeAdapter[Any]:
    """Return the validator of a dataclass, built on first use and then cached."""
    return TypeAdapter(kind)


@cache
def _fields_with_defaults(kind: type[Any]) -> tuple[tuple[str, Any], ...]:
    """Return the names and default values of a dataclass's fields."""
    return tuple((item.name, _default(item)) for item in fields(kind))


def _default(item: Field[Any]) -> Any:
    if item.default_factory is not MISSING:
        return item.default_factory()
    return item.default


def _packed(value: Any) -> Any:
    if type(value) in PLAIN_TYPES:
        return value
    if is_dataclass(value):
        return pack(value)
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (tuple, list)):
        return [_packed(item) for item in value]
    return value
