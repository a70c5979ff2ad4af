"""Count the core-seconds that stops waste in the fleet experiment, by cause.

Stopping a unit costs the work that was not saved, the time of the stop and the time to
restore a checkpoint. What it frees stands idle until the beneficiary starts.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from random import Random
from typing import Any

from wasabispur_core.command import Command, WriteLog
from wasabispur_core.log_event import UNIT_PREEMPTED
from wasabispur_core.workload.jobs.stop_times import StopTimes

SHORTEST_STOP = 0.2
LONGEST_STOP = 0.9
"""Seconds that a stop takes at least and at most; a unit takes as long as its slowest
member. A checkpoint is saved at its beginning."""

RESTORE_TIME = 0.35
"""Seconds to continue from a checkpoint, the middle of what workers take."""

STOP_TIMES = StopTimes(restore=RESTORE_TIME, longest_stop=LONGEST_STOP)

LOST_WORK = "work"
STOPPING = "stop"
RESTORING = "restore"
IDLE = "idle"
CAUSES = (LOST_WORK, STOPPING, RESTORING, IDLE)

UnitKey = tuple[str, str]
"""A job, and the name of a unit within it, as log records have them."""


class StopWaste:
    """Count what stops waste by queue and cause, and how often a unit is stopped."""

    def __init__(self) -> None:
        self.random = Random(1)
        self.wasted: defaultdict[tuple[str, str], float] = defaultdict(float)
        self.stops: Counter[UnitKey] = Counter()
        self.beneficiaries: dict[UnitKey, UnitKey] = {}
        self.freed: dict[UnitKey, list[tuple[float, float]]] = {}

    def observe(self, commands: Iterable[Command]) -> None:
        """Record for which unit another one is stopped."""
        for command in commands:
            if (
                isinstance(command, WriteLog)
                and command.number == UNIT_PREEMPTED.number
            ):
                self._preempted(command.fields)

    def _preempted(self, fields: dict[str, Any]) -> None:
        job, _, unit = fields["beneficiary"].partition(".")
        key = fields["job"], fields["unit"]
        self.beneficiaries[key] = job, unit
        self.stops[key] += 1

    def stop_time(self, members: int) -> float:
        """Return the seconds until the last member of a unit has stopped."""
        times = [
            self.random.uniform(SHORTEST_STOP, LONGEST_STOP) for _ in range(members)
        ]
        return max(times)

    def stopped(
        self,
        key: UnitKey,
        queue: str,
        cores: float,
        lost: float,
        stop: float,
        now: float,
    ) -> None:
        """Record the end of a stop, with its times in seconds."""
        self.wasted[queue, LOST_WORK] += lost * cores
        self.wasted[queue, STOPPING] += stop * cores
        beneficiary = self.beneficiaries.pop(key, None)
        if beneficiary is not None:
            self.freed.setdefault(beneficiary, []).append((now, cores))

    def restored(self, queue: str, cores: float) -> None:
        """Record that a run has continued from a checkpoint."""
        self.wasted[queue, RESTORING] += RESTORE_TIME * cores

    def started(self, key: UnitKey, queue: str, now: float) -> None:
        """Record that a unit starts, for which others may have been stopped."""
        for freed_at, cores in self.freed.pop(key, ()):
            self.wasted[queue, IDLE] += (now - freed_at) * cores

    def stopped_again(self) -> int:
        """Return the number of units that were stopped more than once."""
        return sum(count > 1 for count in self.stops.values())
