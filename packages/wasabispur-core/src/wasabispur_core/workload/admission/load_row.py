"""Define the row in which the shard's owner publishes capacity and open work."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import isfinite
from typing import Any

from ...storage.store import encode_json
from ..row_check import AMOUNT_LIMIT, COUNTER_LIMIT, row_problem
from ..rows import pack, SHARD
from .work import NO_WORK, Work

LOAD_TABLE = "load"

ROW_BYTES_LIMIT = 8 * 1024
"""Maximum size of the row as JSON; the smallest amounts of work are left out."""

SECONDS_LIMIT = 1e9
"""Largest run time, and largest amount of work in core-seconds is its multiple."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LevelLoad:
    """Describe the open work of one priority, by organisation: of gangs, or of tasks.

    worthless is the work of jobs that have lost all value, which is done after the
    other work of the priority.
    """

    priority: int
    gang: bool = False
    work: dict[str, Work] = field(default_factory=dict)
    worthless: Work = NO_WORK


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """Describe a service's capacity, and its open work if it is contended."""

    service: str
    capacity: Work
    levels: tuple[LevelLoad, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetLoad:
    """Describe the load of the fleet as its owner published it.

    written_at is in seconds on the store's clock. run_times contains the quartiles of
    the run time of a task in seconds, the lower and the upper one, for each queue of
    which run times have been learned.
    """

    epoch: int = 0
    sequence: int = 0
    written_at: float = 0.0
    services: tuple[ServiceLoad, ...] = ()
    run_times: dict[str, tuple[float, float]] = field(default_factory=dict)

    @property
    def order(self) -> tuple[int, int]:
        """Return what grows with each row that an owner publishes."""
        return self.epoch, self.sequence

    @property
    def contended(self) -> bool:
        """Return whether the open work of a service is published."""
        return any(service.levels for service in self.services)


@row_problem.register
def _(value: FleetLoad) -> str:
    if not all(0 <= one < COUNTER_LIMIT for one in value.order):
        return "the epoch or the sequence number is out of range"
    if not isfinite(value.written_at):
        return "the time of writing is not finite"
    for lower, upper in value.run_times.values():
        if not 0 < lower <= upper <= SECONDS_LIMIT:
            return "a run time is out of range"
    limit = AMOUNT_LIMIT * SECONDS_LIMIT
    for service in value.services:
        levels = service.levels
        amounts = [service.capacity, *(level.worthless for level in levels)]
        amounts += [work for level in levels for work in level.work.values()]
        if not all(0 <= part <= limit for amount in amounts for part in amount):
            return (
                f"an amount of work or capacity of {service.service!r} is not possible"
            )
    return ""


def load_prefix() -> str:
    """Return the prefix of the row with the load."""
    return f"{LOAD_TABLE}/{SHARD}/"


def load_key() -> str:
    """Return the key of the row with the load."""
    return load_prefix() + "summary"


def load_row(load: FleetLoad) -> dict[str, Any]:
    """Return the row of a load, without the smallest amounts of work if it is too long.

    What is left out counts as no work, so that more jobs are accepted. A configuration
    with too many services or queues leaves a row without information.
    """
    while len(encode_json(row := pack(load))) > ROW_BYTES_LIMIT:
        amounts = sorted(
            work.core_seconds
            for service in load.services
            for level in service.levels
            for work in level.work.values()
        )
        if not amounts:
            return pack(replace(load, services=(), run_times={}))
        load = _without_small(load, amounts[len(amounts) // 4])
    return row


def _without_small(load: FleetLoad, limit: float) -> FleetLoad:
    """Return the load without amounts of work up to a limit in core-seconds."""
    return replace(
        load,
        services=tuple(
            replace(
                service,
                levels=tuple(
                    replace(
                        level,
                        work={
                            name: work
                            for name, work in level.work.items()
                            if work.core_seconds > limit
                        },
                    )
                    for level in service.levels
                ),
            )
            for service in load.services
        ),
    )
