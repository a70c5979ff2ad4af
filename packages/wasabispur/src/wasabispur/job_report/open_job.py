"""Hold what the logs tell of a job until it has ended.

Records are held by run, so that the logs of two owners that overlap count a run once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .log_record import RunEnded

RunKey = tuple[str, int]
"""The name of a unit or a task, and the number of its run."""


@dataclass(slots=True, kw_only=True)
class OpenJob:
    """Represent a job that is open, or has ended a moment ago.

    Times are in seconds since the epoch. accepted is set once its acceptance was read;
    accepted_at is its time on the entry's clock and owner_accepted_at on the owner's,
    which also gives first_placed_at. refusal is the reason of its last refusal.
    placements contains the workers of each run of a unit, stops why such a run was
    stopped, ends the end of each run of a task, and idle the core-seconds for which
    room stood idle for each unit.
    """

    job_id: str
    queue: str = ""
    organisation: str = ""
    accepted: bool = False
    accepted_at: float | None = None
    owner_accepted_at: float | None = None
    first_placed_at: float | None = None
    refusal: str = ""
    uncertain: bool = False
    end_state: str = ""
    placements: dict[RunKey, tuple[str, ...]] = field(default_factory=dict)
    stops: dict[RunKey, str] = field(default_factory=dict)
    ends: dict[RunKey, RunEnded] = field(default_factory=dict)
    idle: dict[str, float] = field(default_factory=dict)

    @property
    def held(self) -> int:
        """Return the number of records that are held."""
        return (
            len(self.placements) + len(self.stops) + len(self.ends) + len(self.idle) + 1
        )

    @property
    def waited(self) -> float | None:
        """Return the seconds from the acceptance to the first placement, if known."""
        accepted_at = self.owner_accepted_at
        if accepted_at is None:
            accepted_at = self.accepted_at
        if accepted_at is None or self.first_placed_at is None:
            return None
        return max(self.first_placed_at - accepted_at, 0.0)

    @property
    def seen_running(self) -> bool:
        """Return whether something was read that only happens after the acceptance."""
        return bool(self.placements or self.ends or self.end_state)
