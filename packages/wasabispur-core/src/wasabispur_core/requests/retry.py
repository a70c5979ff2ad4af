"""Limit the number and the rate of request retries."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

ATTEMPT_LIMIT = 4
"""Attempts of one request, including the first."""

BACKOFF_BASE = 0.05
BACKOFF_LIMIT = 2.0
"""Base and limit in seconds of the exponential delay before a retry."""

BUDGET_LIMIT = 10.0
"""Retries that the budget of a class can accumulate."""


@dataclass(slots=True)
class RetryBudget:
    """Limit the retries of a class to a fixed share of its first attempts."""

    ratio: float
    balance: float = 0.0

    @property
    def available(self) -> bool:
        """Return whether the budget covers one retry."""
        return self.balance >= 1.0

    def deposit(self) -> None:
        """Credit the budget for a first attempt."""
        self.balance = min(self.balance + self.ratio, BUDGET_LIMIT)

    def withdraw(self) -> None:
        """Charge the budget for one retry."""
        self.balance -= 1.0


def backoff(attempts: int, random: Random) -> float:
    """Return the seconds to wait before the next attempt, with full jitter."""
    limit = min(BACKOFF_LIMIT, BACKOFF_BASE * 2.0**attempts)
    return random.uniform(0.0, limit)
