"""Define how long stops and restarts take on a deployment's workers."""

from __future__ import annotations

from dataclasses import dataclass

START_TIME = 0.3
"""Seconds from the end of a stop until the next run works.

They cover the report of the end, the decision and the order; resources are idle for
them.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTimes:
    """Describe what a stop takes, in seconds.

    checkpoint_interval is the longest time between two checkpoints of a run, restore
    the time to continue from one, and longest_stop the time within which a run ends
    that is told to stop. A run also saves a checkpoint when it is told to stop.
    """

    checkpoint_interval: float = 2.0
    restore: float = 0.3
    longest_stop: float = 0.5

    @property
    def expected_stop(self) -> float:
        """Return the seconds in which a run is expected to end."""
        return self.longest_stop / 2

    def stop_and_restore(self, checkpointing: bool) -> float:
        """Return the seconds of its resources that a unit loses beside its work."""
        return self.expected_stop + (self.restore if checkpointing else 0.0)


DEFAULT_STOP_TIMES = StopTimes()
