"""Bound the retries of requests in number and in rate."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

ATTEMPT_LIMIT = 4
"""Attempts that one request may make."""

BACKOFF_BASE = 0.05
BACKOFF_LIMIT = 2.0
"""Bounds in seconds of the delay before a retry."""

BUDGET_LIMIT = 10.0
"""Retries that a quiet class may save up."""


@dataclass(slots=True)
class RetryBudget:
    """Allow a fixed share of retries for each first attempt of a class."""

    ratio: float
    balance: float = 0.0

    @property
    def available(self) -> bool:
        """Return whether one retry can be paid."""
        return self.balance >= 1.0

    def deposit(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.balance + self.ratio, BUDGET_LIMIT)

    def withdraw(self) -> None:
        """Pay for one retry."""
        self.balance -= 1.0


def backoff(attempts: int, random: Random) -> float:
    """Return the seconds to wait before the next attempt, with full jitter."""
    limit = min(BACKOFF_LIMIT, BACKOFF_BASE * 2.0**attempts)
    return random.uniform(0.0, limit)
