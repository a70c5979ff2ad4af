"""Define amounts of work and capacity by resource."""

from __future__ import annotations

from typing import NamedTuple

from ..jobs.spec import Resources

MB_PER_GB = 1000
MILLICORES_PER_CORE = 1000


class Work(NamedTuple):
    """Describe an amount of work by resource.

    The unit is that of the resource times seconds, or the resource itself for a
    capacity: cores, GB of memory and accelerators.
    """

    cpu: float = 0
    memory: float = 0
    accelerators: float = 0

    def plus(self, other: Work, factor: float = 1.0) -> Work:
        """Return the sum of this work and a multiple of another one."""
        return Work(
            self.cpu + factor * other.cpu,
            self.memory + factor * other.memory,
            self.accelerators + factor * other.accelerators,
        )

    def seconds(self, capacity: Work) -> float:
        """Return the seconds that a capacity takes for the resource needed most.

        A resource without capacity is left out, as it is unknown when there will be
        some.
        """
        return max(
            (need / total for need, total in zip(self, capacity, strict=True) if total),
            default=0.0,
        )

    @property
    def core_seconds(self) -> float:
        """Return the work in core-seconds; one accelerator counts as eight cores."""
        return self.cpu + 8 * self.accelerators


NO_WORK = Work()


def work_of(demand: Resources, seconds: float = 1.0) -> Work:
    """Return the work of tasks that together hold some resources for some seconds."""
    return Work(
        demand.cpu * seconds / MILLICORES_PER_CORE,
        demand.memory * seconds / MB_PER_GB,
        demand.accelerators * seconds,
    )
