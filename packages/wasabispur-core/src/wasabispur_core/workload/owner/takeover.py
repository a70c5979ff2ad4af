"""Log the steps of a takeover, from the claim of the shard to the first pass."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ...command import WriteLog
from ...log_event import FIRST_PLANNING_PASS, TAKEOVER_PENDING, TAKEOVER_STEP

PENDING_INTERVAL = 3.0
"""Seconds between two lines about what an owner has yet to read."""


@dataclass(slots=True, kw_only=True)
class Takeover:
    """Represent the takeover of the shard; times are in monotonic seconds.

    claimed_at is when the claim was sent, step_at when the last step ended, and
    pending_logged_at when a line last said what has yet to be read. planned is set
    once the first planning pass has begun.
    """

    epoch: int
    claimed_at: float
    step_at: float
    pending_logged_at: float
    planned: bool = False

    def age(self, now: float) -> float:
        """Return the time since the claim in seconds."""
        return round(now - self.claimed_at, 3)


def begin_takeover(epoch: int, claim_time: float, now: float) -> Takeover:
    """Return a takeover whose claim took claim_time seconds."""
    return Takeover(
        epoch=epoch, claimed_at=now - claim_time, step_at=now, pending_logged_at=now
    )


def log_step(
    takeover: Takeover, step: str, rows: int, loading: Collection[str], now: float
) -> WriteLog:
    """Log that a table or the configuration is known, and what has yet to be read."""
    fields = {**_step_fields(takeover, now), "step": step, "rows": rows}
    fields["loading"] = sorted(loading)
    return WriteLog(number=TAKEOVER_STEP.number, fields=fields)


def log_pending(
    takeover: Takeover, loading: Collection[str], now: float
) -> list[WriteLog]:
    """Log at intervals what an owner that can't plan yet has still to read."""
    if now - takeover.pending_logged_at < PENDING_INTERVAL:
        return []
    takeover.pending_logged_at = now
    fields = {
        "epoch": takeover.epoch,
        "age": takeover.age(now),
        "since_step": round(now - takeover.step_at, 3),
        "loading": sorted(loading),
    }
    return [WriteLog(number=TAKEOVER_PENDING.number, fields=fields)]


def log_first_pass(takeover: Takeover, waiting: int, now: float) -> list[WriteLog]:
    """Log the first planning pass; it is due once a unit waits."""
    if takeover.planned:
        return []
    takeover.planned = True
    fields = {**_step_fields(takeover, now), "waiting": waiting}
    return [WriteLog(number=FIRST_PLANNING_PASS.number, fields=fields)]


def _step_fields(takeover: Takeover, now: float) -> dict[str, object]:
    since_step, takeover.step_at = now - takeover.step_at, now
    return {
        "epoch": takeover.epoch,
        "age": takeover.age(now),
        "since_step": round(since_step, 3),
    }
