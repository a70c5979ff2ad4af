"""Remember what the shard's owner published of the load, and compare it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from .load_row import FleetLoad

NOTICED_CHANGE = 0.1
"""Relative change of a figure from which the load is published again."""


@dataclass(slots=True, kw_only=True)
class PublishedLoad:
    """Represent the load as published last, if the deployment publishes it.

    computed_at and written_at are in monotonic seconds.
    """

    enabled: bool = False
    load: FleetLoad | None = None
    computed_at: float = -inf
    written_at: float = -inf

    def differs(self, load: FleetLoad) -> bool:
        """Return whether a figure differs by over a tenth from what is published."""
        if self.load is None:
            return True
        old, new = dict(_figures(self.load)), dict(_figures(load))
        if old.keys() != new.keys():
            return True
        return any(_is_change(old[key], new[key]) for key in old)


def _is_change(old: float, new: float) -> bool:
    return abs(new - old) > NOTICED_CHANGE * max(old, new)


def _figures(load: FleetLoad) -> Iterator[tuple[tuple[str | int, ...], float]]:
    for queue, quartiles in load.run_times.items():
        for number, seconds in enumerate(quartiles):
            yield (queue, number), seconds
    for service in load.services:
        for number, amount in enumerate(service.capacity):
            yield (service.service, "capacity", number), amount
        for level in service.levels:
            key = (service.service, level.priority, level.gang)
            for number, amount in enumerate(level.worthless):
                yield (*key, number), amount
            for organisation, work in level.work.items():
                for number, amount in enumerate(work):
                    yield (*key, organisation, number), amount
