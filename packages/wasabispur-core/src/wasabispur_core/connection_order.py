"""Order connections by how much they use."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

SHARE_BYTES = 16 * 1024
"""Bytes up to which a connection counts as one of the smallest."""

RANKS = 10
"""Number of ranks; each covers twice as many bytes as the one below."""

ItemT = TypeVar("ItemT")


def usage_rank(used: int) -> int:
    """Return the rank of a connection that uses a number of bytes."""
    return min((used // SHARE_BYTES).bit_length(), RANKS - 1)


class ConnectionOrder(Generic[ItemT]):
    """Hold connections by rank, and within a rank in the order in which they came."""

    def __init__(self) -> None:
        self.ranks: dict[int, OrderedDict[ItemT, None]] = {}

    def __len__(self) -> int:
        return sum(len(members) for members in self.ranks.values())

    def add(self, item: ItemT, rank: int) -> None:
        """Add a connection at the end of its rank."""
        self.ranks.setdefault(rank, OrderedDict())[item] = None

    def remove(self, item: ItemT, rank: int) -> None:
        """Remove a connection."""
        members = self.ranks[rank]
        del members[item]
        if not members:
            del self.ranks[rank]

    def in_rank(self, rank: int, newest_first: bool = False) -> Iterator[ItemT]:
        """Return the connections of a rank."""
        members = self.ranks.get(rank, OrderedDict())
        return reversed(members) if newest_first else iter(members)
