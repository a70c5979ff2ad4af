"""Store the learned run times in a row, and restore them from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ...message import Message
from ...storage.store import encode_json
from ..row_check import COUNTER_LIMIT, row_problem
from ..rows import pack, SHARD
from .run_time import OBSERVATION_LIMIT, RunGroup, RunTimeModel
from .run_time_fit import Observation

ESTIMATE_TABLE = "estimates"

ROW_BYTES_LIMIT = 16 * 1024
"""Maximum size of the row, encoded as JSON; the groups that ended last are kept."""

ROW_OVERHEAD_BYTES = 64

STORED_PER_GROUP = 12
"""Observations of a group that are stored, the latest ones."""

TIME_UNIT = 0.01
"""Seconds in which times are stored, as whole numbers."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredGroup:
    """Represent the run times of a group, in hundredths of a second, oldest first.

    declared contains the callers' estimates of the same tasks, or 0 without one.
    """

    queue: str
    organisation: str
    accelerators: int = 0
    gang: bool = False
    declared: tuple[int, ...] = ()
    actual: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRunTimes:
    """Represent the learned run times, the groups that ended last first."""

    groups: tuple[StoredGroup, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RunTimesArrived(Message):
    """Deliver the run times as a former owner learned them."""

    stored: StoredRunTimes


@row_problem.register
def _(value: StoredRunTimes) -> str:
    for group in value.groups:
        if len(group.declared) != len(group.actual):
            return "a group has not as many estimates as run times"
        if not all(0 <= one < COUNTER_LIMIT for one in group.declared):
            return "an estimate is out of range"
        if not all(0 < one < COUNTER_LIMIT for one in group.actual):
            return "a run time is out of range"
        if not 0 <= group.accelerators < COUNTER_LIMIT:
            return "a number of accelerators is out of range"
    return ""


def run_times_prefix() -> str:
    """Return the prefix of the row with the learned run times."""
    return f"{ESTIMATE_TABLE}/{SHARD}/"


def run_times_key() -> str:
    """Return the key of the row with the learned run times."""
    return run_times_prefix() + "run-times"


def run_times_row(model: RunTimeModel) -> dict[str, Any]:
    """Return the row of the groups that ended last, as many as it can hold."""
    rows: list[dict[str, Any]] = []
    size = ROW_OVERHEAD_BYTES
    for group in reversed(model.groups):
        row = pack(_stored(group, list(model.groups[group].values())))
        size += len(encode_json(row)) + 1
        if size > ROW_BYTES_LIMIT:
            break
        rows.append(row)
    return {"groups": rows}


def restore_run_times(model: RunTimeModel, stored: StoredRunTimes) -> None:
    """Put stored run times before those that the model has learned since."""
    learned = list(model.groups.items())
    model.groups.clear()
    for number, group in enumerate(reversed(stored.groups)):
        key = RunGroup(group.queue, group.organisation, group.accelerators, group.gang)
        pairs = list(zip(group.declared, group.actual, strict=True))
        model.groups[key] = {
            f"stored.{number}.{index}": Observation(
                declared * TIME_UNIT, actual * TIME_UNIT
            )
            for index, (declared, actual) in enumerate(pairs[-OBSERVATION_LIMIT:])
        }
    for key, observations in learned:
        model.groups[key] = model.groups.pop(key, {}) | observations
    model.trim()


def _stored(group: RunGroup, observations: list[Observation]) -> StoredGroup:
    latest = observations[-STORED_PER_GROUP:]
    return StoredGroup(
        queue=group.queue,
        organisation=group.organisation,
        accelerators=group.accelerators,
        gang=group.gang,
        declared=tuple(round(one.declared / TIME_UNIT) for one in latest),
        actual=tuple(max(round(one.seconds / TIME_UNIT), 1) for one in latest),
    )
