"""Order the waiting units of one priority by the shares of their organisations.

This addresses an organisation that floods a priority: while it is over its fair share,
its units wait until the others have no unit left that fits.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import heappop, heappush

from .pass_shares import PassShares
from .plan import WaitingUnit

Entry = tuple[int, list[WaitingUnit]]


class ShareOrder:
    """Represent the groups of units that a pass has yet to decide on.

    Groups of organisations over their fair share are set aside. They return to their
    place once their organisation no longer is, as others have been placed, and come
    last otherwise. overtaken contains the organisations with units that others of the
    priority preceded for this reason.
    """

    def __init__(self, groups: Sequence[list[WaitingUnit]], shares: PassShares) -> None:
        self.shares = shares
        # In order of their numbers, so that the list is a heap.
        self.ready: list[Entry] = list(enumerate(groups))
        self.set_aside: dict[str, list[Entry]] = {}
        self.overtaken: set[str] = set()

    def next(self) -> Entry | None:
        """Return the group to decide on now and its number, or None at the end."""
        while self.ready:
            entry = heappop(self.ready)
            unit = entry[1][0]
            if not self.shares.is_over(unit):
                self.overtaken.update(self.set_aside)
                return entry
            self.set_aside.setdefault(unit.organisation, []).append(entry)
        if not self.set_aside:
            return None
        # Only organisations over their share are left: the usual order decides.
        entry = min(entries[0] for entries in self.set_aside.values())
        organisation = entry[1][0].organisation
        self.set_aside[organisation].remove(entry)
        if not self.set_aside[organisation]:
            del self.set_aside[organisation]
        return entry

    def put_back(self, number: int, rest: list[WaitingUnit]) -> None:
        """Add the units of a group that are left after one of it was placed.

        The shares have changed, so that others may no longer be over theirs.
        """
        if rest:
            heappush(self.ready, (number, rest))
        for entries in self.set_aside.values():
            for entry in entries:
                heappush(self.ready, entry)
        self.set_aside.clear()
