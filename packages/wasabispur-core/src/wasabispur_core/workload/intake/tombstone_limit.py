"""Limit the cancellations of unknown jobs, each of which leaves a row for a while.

A client may send any number of unknown ids. A tombstone is the cancellation row of a
job without a row; the shard's owner removes it after its retention.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from ...storage.token_bucket import TokenBucket

ORGANISATION_RATE = 1.0
"""Tombstones a second that one organisation may cause at one entry."""

ENTRY_RATE = 4.0
"""Tombstones a second that all organisations together may cause at one entry."""

BURST_TIME = 60.0
"""Seconds of the rate that may be used at once, as clients return after an outage."""

ORGANISATION_BURST = ORGANISATION_RATE * BURST_TIME


@dataclass(slots=True)
class TombstoneLimit:
    """Represent what an entry and each organisation may still write.

    Callers without a key share the organisation with an empty name.
    """

    entry: TokenBucket = field(
        default_factory=lambda: TokenBucket(ENTRY_RATE, burst_time=BURST_TIME)
    )
    organisations: dict[str, TokenBucket] = field(default_factory=dict)

    def allows(self, organisation: str, now: float) -> bool:
        """Return whether the organisation may cause another tombstone."""
        buckets = self._buckets(organisation, now)
        return all(bucket.available(now) for bucket in buckets)

    def count(self, organisation: str, now: float) -> None:
        """Count a tombstone that is about to be written."""
        for bucket in self._buckets(organisation, now):
            bucket.take(now)

    def delay(self, organisation: str, now: float) -> float:
        """Return the seconds until the organisation may cause another tombstone."""
        return max(bucket.delay(now) for bucket in self._buckets(organisation, now))

    def keep_organisations(self, names: Collection[str]) -> None:
        """Drop the counts of organisations that are not configured any more."""
        for name in [one for one in self.organisations if one and one not in names]:
            del self.organisations[name]

    def _buckets(self, organisation: str, now: float) -> tuple[TokenBucket, ...]:
        own = self.organisations.get(organisation)
        if own is None:
            own = self.organisations[organisation] = TokenBucket(
                ORGANISATION_RATE, ORGANISATION_BURST, now, BURST_TIME
            )
        return self.entry, own
