"""Limit a rate of calls."""

from __future__ import annotations

from dataclasses import dataclass

MIN_DELAY = 0.001
"""Shortest delay in seconds; a shorter one may vanish beside a large clock value."""


@dataclass(slots=True)
class TokenBucket:
    """Allow per_second calls a second; a second's worth may come at once."""

    per_second: float
    tokens: float = 0.0
    updated: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call."""
        earned = (now - self.updated) * self.per_second
        self.tokens = min(max(self.per_second, 1.0), self.tokens + earned)
        self.updated = now

    def take(self, now: float) -> bool:
        """Return whether one more call fits the rate, and count it."""
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def delay(self, now: float) -> float:
        """Return the seconds until one more call fits."""
        self.refill(now)
        return max((1 - self.tokens) / self.per_second, MIN_DELAY)
