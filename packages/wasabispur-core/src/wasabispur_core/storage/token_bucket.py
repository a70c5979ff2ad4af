"""Limit the rate of calls with a token bucket."""

from __future__ import annotations

from dataclasses import dataclass

MIN_DELAY = 0.001
"""Minimum delay in seconds; a shorter one is lost in rounding at large clock values."""


@dataclass(slots=True)
class TokenBucket:
    """Allow per_second calls a second, in bursts of up to burst_time seconds' calls."""

    per_second: float
    tokens: float = 0.0
    updated: float = 0.0
    burst_time: float = 1.0

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last update."""
        earned = (now - self.updated) * self.per_second
        limit = max(self.per_second * self.burst_time, 1.0)
        self.tokens = min(limit, self.tokens + earned)
        self.updated = now

    def available(self, now: float) -> bool:
        """Return whether a token is available, without taking it."""
        self.refill(now)
        return self.tokens >= 1

    def take(self, now: float) -> bool:
        """Take a token and return whether one was available."""
        if not self.available(now):
            return False
        self.tokens -= 1
        return True

    def delay(self, now: float) -> float:
        """Return the seconds until the next token is available."""
        self.refill(now)
        return max((1 - self.tokens) / self.per_second, MIN_DELAY)
