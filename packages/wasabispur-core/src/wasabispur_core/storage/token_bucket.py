"""Limit the rate of calls with a token bucket."""

from __future__ import annotations

from dataclasses import dataclass

MIN_DELAY = 0.001
"""Minimum delay in seconds; a shorter one is lost in rounding at large clock values."""


@dataclass(slots=True)
class TokenBucket:
    """Allow per_second calls a second, in bursts of up to one second's calls."""

    per_second: float
    tokens: float = 0.0
    updated: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last update."""
        earned = (now - self.updated) * self.per_second
        self.tokens = min(max(self.per_second, 1.0), self.tokens + earned)
        self.updated = now

    def take(self, now: float) -> bool:
        """Take a token and return whether one was available."""
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def delay(self, now: float) -> float:
        """Return the seconds until the next token is available."""
        self.refill(now)
        return max((1 - self.tokens) / self.per_second, MIN_DELAY)
