"""Decide how far a worker is trusted, from its health checks and its runs.

Designed for 650 workers, 2,200 running tasks and gangs of up to 64, of which one faulty
worker costs a gang all its work. Answers are wrong in both directions: a worker may
answer as healthy and fail everything, or answer as unhealthy and run everything.
Workers that flap are down and up in turns of 1.4 to 1.7 s. So an answer only makes a
worker doubtful, runs there outweigh it, and a worker that was down stays doubtful for
longer than a turn. A decision costs the same whatever the size of the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ..planning.plan import Trust
from .worker import HealthAnswer

RECOVERY_TIME = 2.0
"""Seconds for which a worker stays doubtful after it was down, 1.7 s at a time."""

FLAP_DOWNS = 2
"""Times down within FLAP_WINDOW at which a worker flaps."""

FLAP_WINDOW = 12.0
"""Seconds within which the times down of a flap are counted."""

FLAP_RECOVERY_TIME = 8.0
"""Seconds for which a flapping worker stays doubtful: over two periods of 3.4 s."""

PROGRESS_TIME = 1.0
"""Seconds that a run has to last to count as evidence for its worker."""

SURVIVAL_TIME = 4.0
"""The same on a worker that flaps or has failed.

A shorter run may fall between two times down.
"""

AVOID_TIME = 4.0
"""Seconds without a trial after a first fault, doubled by each trial that fails."""

AVOID_TIME_LIMIT = 32.0
"""Longest time in seconds without a trial."""

TRUST_TIME = 30.0
"""Seconds for which runs outweigh a worker's unhealthy answers.

Each success begins the time anew, and a fault ends it.
"""

UNKNOWN_TIME = 10.0
"""Seconds without any answer after which a worker counts as one without checks."""

DOWNS_KEPT = 4


@dataclass(slots=True, kw_only=True)
class WorkerHealth:
    """Represent what the owner knows of a worker's health; times are monotonic seconds.

    answer is the last answer to a health check, valid from since, and former the one
    before it became unknown. changes counts the changes of the answer that the agent
    has seen. checked is set once there was an answer; until then nothing here decides.
    downs contains the last times at which the worker went down, and down_until the
    time up to which it was. strikes counts the faults of which each followed a trial,
    and faulted_at is the time of the last one. other_faults counts those that were no
    failed runs, refusals the starts that were refused without a common reason since
    the last success, and failed_jobs contains the jobs of which runs failed or stalled
    since then. No trial begins before avoided_until, and answers don't count before
    trusted_until, nor while disregarded is set. reported is the trust logged last.
    """

    answer: HealthAnswer = HealthAnswer.UNKNOWN
    since: float = 0.0
    former: HealthAnswer = HealthAnswer.UNKNOWN
    changes: int = 0
    checked: bool = False
    downs: list[float] = field(default_factory=list)
    down_until: float = -inf
    strikes: int = 0
    faulted_at: float = -inf
    other_faults: int = 0
    refusals: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    avoided_until: float = -inf
    trusted_until: float = -inf
    disregarded: bool = False
    reported: Trust = Trust.FULL

    def answered(self, answer: HealthAnswer, since: float, changes: int = 0) -> None:
        """Apply the answer of a report, which holds since a time.

        changes counts the changes of the answer so far. After a restart of its agent
        the answer is unknown for a moment, which is no sign of a change.
        """
        if answer is HealthAnswer.UNKNOWN:
            if self.answer is not HealthAnswer.UNKNOWN:
                self.former, self.answer, self.since = self.answer, answer, since
            return
        self.checked = True
        before = self.former if self.answer is HealthAnswer.UNKNOWN else self.answer
        if answer is self.answer and changes == self.changes:
            # A report that is read late would make the answer appear more recent.
            self.since = min(self.since, since)
            return
        self.changes = changes
        if answer is self.answer:
            # It was another one between the reports.
            self.went_down(since)
            if answer is not HealthAnswer.UNHEALTHY:
                self.came_up(since)
        elif answer is not before and answer is HealthAnswer.UNHEALTHY:
            self.went_down(since)
        elif answer is not before and before is HealthAnswer.UNHEALTHY:
            self.came_up(since)
        self.answer, self.since = answer, since

    def went_down(self, at: float) -> None:
        """Record that the worker went down: its process, its contact or its answer.

        One cause may show in several ways within a turn.
        """
        if not self.downs or at - self.downs[-1] > 1.0:
            self.downs = [*self.downs[1 - DOWNS_KEPT :], at]

    def came_up(self, at: float) -> None:
        """Record that the worker is up again, if it is known to have been down."""
        if self.downs:
            self.down_until = max(self.down_until, at)

    def restarted(self, planned: bool, now: float) -> None:
        """Apply a new incarnation; one that was announced is no sign of a fault."""
        if not planned:
            self.went_down(now)
            self.came_up(now)
        self.former = HealthAnswer.UNKNOWN
        if not self.flaps(now):
            self.forget_faults()

    def is_outdated(self, now: float) -> bool:
        """Return whether the worker is not checked any more."""
        return self.answer is HealthAnswer.UNKNOWN and now - self.since > UNKNOWN_TIME

    def forget_faults(self) -> None:
        """Forget the faults of a worker whose runs succeed."""
        self.strikes = self.other_faults = self.refusals = 0
        self.avoided_until = -inf

    def fault(self, started_at: float, now: float) -> None:
        """Record a fault of a run that started at a time.

        Runs that started before the last fault are part of the same one.
        """
        if started_at > self.faulted_at or not self.strikes:
            self.strikes += 1
        self.faulted_at = now
        self.trusted_until = -inf
        # The exponent is limited, since a worker may fail trials for days.
        delay = AVOID_TIME * 2 ** min(self.strikes - 1, 10)
        self.avoided_until = now + min(delay, AVOID_TIME_LIMIT)

    def progressed(self, started_at: float, now: float) -> bool:
        """Apply work done by a run that started at a time; return whether it counts."""
        if started_at <= self.faulted_at:
            return False
        proof = SURVIVAL_TIME if self.strikes or self.flaps(now) else PROGRESS_TIME
        if now - started_at < proof:
            return False
        self.forget_faults()
        if self.answer is HealthAnswer.UNHEALTHY and started_at >= self.since:
            self.trusted_until = now + TRUST_TIME
        return True

    def succeeded(self, started_at: float, now: float) -> bool:
        """Apply a completed run that started at a time; return whether it counts."""
        self.failed_jobs.clear()
        if started_at <= self.faulted_at:
            return False
        if self.flaps(now) and now - started_at < SURVIVAL_TIME:
            return False
        self.forget_faults()
        if self.answer is HealthAnswer.UNHEALTHY and started_at >= self.since:
            self.trusted_until = now + TRUST_TIME
        # A run that was there all the time shows that the worker was not down.
        survived = bool(self.downs) and (
            started_at < self.downs[-1] < now - RECOVERY_TIME
        )
        if survived or now < self.trusted_until:
            self.trusted_until = now + TRUST_TIME
        return True

    @property
    def calm(self) -> bool:
        """Return whether nothing is held against the worker, as for most of them."""
        return not self.strikes and not self.downs

    def forget_downs(self, now: float) -> None:
        """Forget when the worker was down, once that decides nothing any more."""
        quiet_since = max(self.down_until, self.downs[-1] if self.downs else -inf)
        healthy = self.answer is HealthAnswer.HEALTHY
        if healthy and now - quiet_since > FLAP_WINDOW + FLAP_RECOVERY_TIME:
            self.downs.clear()

    def flaps(self, now: float) -> bool:
        """Return whether the worker went down several times recently."""
        if len(self.downs) < FLAP_DOWNS or now - self.downs[-1] > FLAP_WINDOW:
            return False
        return self.downs[-1] - self.downs[-FLAP_DOWNS] <= FLAP_WINDOW

    def looks_down(self, now: float) -> bool:
        """Return whether answers and restarts show that the worker is down, or was."""
        if now < self.trusted_until:
            return False
        if self.answer is HealthAnswer.UNHEALTHY:
            return True
        recovery = FLAP_RECOVERY_TIME if self.flaps(now) else RECOVERY_TIME
        return now - self.down_until < recovery

    def is_suspicious(self, now: float) -> bool:
        """Return whether a fault of one run is enough to suspect the worker.

        A check without an answer counts only together with such a fault.
        """
        down = not self.disregarded and self.looks_down(now)
        return down or self.answer is HealthAnswer.UNANSWERED

    def trust(self, now: float) -> Trust:
        """Return how far a worker is trusted that is not under suspicion."""
        if self.strikes and now < self.avoided_until:
            return Trust.AVOIDED
        if self.strikes or (not self.disregarded and self.looks_down(now)):
            return Trust.DOUBTFUL
        return Trust.FULL
