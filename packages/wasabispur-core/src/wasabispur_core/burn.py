"""Compute the burn rates of the error budgets of service-level objectives.

An entry instance (a front-end process), or entry for short, counts its ended requests
by work class and organisation. A burn rate is computed from the counts of all entries.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

SLOT_DURATION = 300
"""Length in seconds of the wall-clock slots by which requests are counted."""

RETAINED_SLOTS = 3 * 24 * 3600 // SLOT_DURATION
"""Number of slots to keep for the longest window, which is three days."""

PAIR_LIMIT = 150
"""Maximum pairs of work class and organisation; fits 46 organisations of 3 classes."""

OTHER = "other"
"""Class and organisation that count all pairs beyond the limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Describe a short and a long window, in seconds, and their alert threshold.

    The short window ends an alert soon after the errors stop. The thresholds are
    the burn rates that use up 2%, 5% and 10% of a 30-day budget within the long
    window.
    """

    name: str
    short: int
    long: int
    threshold: float


WINDOWS = (
    Window(name="5 min/1 h", short=300, long=3600, threshold=14.4),
    Window(name="30 min/6 h", short=1800, long=6 * 3600, threshold=6.0),
    Window(name="6 h/3 d", short=6 * 3600, long=3 * 24 * 3600, threshold=1.0),
)


@dataclass(frozen=True, slots=True, order=True)
class Pair:
    """Identify one work class of one organisation."""

    work_class: str
    organisation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotCount:
    """Count the requests of a pair that ended in one slot.

    slot is the wall-clock time divided by SLOT_DURATION; good counts the requests with
    the outcome completed, whatever the status of the response.
    """

    pair: Pair
    slot: int
    good: int
    total: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowBurnRate:
    """Describe the burn rates of one pair in one window.

    requests counts the requests in the long window.
    """

    pair: Pair
    window: str
    short_rate: float
    long_rate: float
    threshold: float
    requests: int

    @property
    def alert(self) -> bool:
        """Return whether the burn rates of both windows reach the threshold."""
        return min(self.short_rate, self.long_rate) >= self.threshold


@dataclass(slots=True)
class RequestCounts:
    """Count the ended requests of one entry by pair and slot."""

    pairs: set[Pair] = field(default_factory=set)
    counts: dict[int, dict[Pair, list[int]]] = field(default_factory=dict)

    def add(self, pair: Pair, good: bool, wall_time: float) -> None:
        """Count a request that ended at wall_time, in seconds of wall-clock time."""
        slot = int(wall_time // SLOT_DURATION)
        if slot not in self.counts:
            self.counts[slot] = {}
            self._drop_expired_slots(slot)
        count = self.counts[slot].setdefault(self._limited_pair(pair), [0, 0])
        count[0] += good
        count[1] += 1

    def read(self) -> list[SlotCount]:
        """Return all counts."""
        return [
            SlotCount(pair=pair, slot=slot, good=count[0], total=count[1])
            for slot, counts in self.counts.items()
            for pair, count in counts.items()
        ]

    def _drop_expired_slots(self, newest: int) -> None:
        for slot in [slot for slot in self.counts if slot <= newest - RETAINED_SLOTS]:
            del self.counts[slot]

    def _limited_pair(self, pair: Pair) -> Pair:
        if pair in self.pairs:
            return pair
        if len(self.pairs) >= PAIR_LIMIT:
            return Pair(OTHER, OTHER)
        self.pairs.add(pair)
        return pair


def burn_rate(bad: int, total: int, target: float) -> float:
    """Return the use of the error budget as a multiple of the allowed rate."""
    if total == 0:
        return 0.0
    return bad / total / (1 - target)


def window_burn_rates(
    counts: Iterable[SlotCount], targets: Mapping[str, float], wall_time: float
) -> list[WindowBurnRate]:
    """Return the burn rates of each pair and window, summed over all entries.

    targets maps a class to its required share of good requests; classes without a
    target are left out. A window ends at wall_time and includes the whole slot in
    which it starts.
    """
    by_pair: defaultdict[Pair, list[SlotCount]] = defaultdict(list)
    for count in counts:
        if count.pair.work_class in targets:
            by_pair[count.pair].append(count)
    return [
        _window_burn_rate(
            pair, window, by_pair[pair], targets[pair.work_class], wall_time
        )
        for pair in sorted(by_pair)
        for window in WINDOWS
    ]


def _window_burn_rate(
    pair: Pair,
    window: Window,
    counts: list[SlotCount],
    target: float,
    wall_time: float,
) -> WindowBurnRate:
    short_bad, short_total = _bad_and_total(counts, wall_time - window.short, wall_time)
    long_bad, long_total = _bad_and_total(counts, wall_time - window.long, wall_time)
    return WindowBurnRate(
        pair=pair,
        window=window.name,
        short_rate=burn_rate(short_bad, short_total, target),
        long_rate=burn_rate(long_bad, long_total, target),
        threshold=window.threshold,
        requests=long_total,
    )


def _bad_and_total(
    counts: list[SlotCount], start: float, end: float
) -> tuple[int, int]:
    first, last = int(start // SLOT_DURATION), int(end // SLOT_DURATION)
    inside = [count for count in counts if first <= count.slot <= last]
    good = sum(count.good for count in inside)
    total = sum(count.total for count in inside)
    return total - good, total
