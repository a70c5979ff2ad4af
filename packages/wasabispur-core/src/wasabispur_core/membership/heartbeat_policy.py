"""Choose the heartbeat intervals between agents and entry instances."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from ..protocol import Announce, Role


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatIntervals:
    """Define the seconds between two heartbeats on the streams of one entry.

    Streams of endpoint agents always have a short interval, because urgent requests
    have to start within seconds. Streams of worker agents may have a longer one,
    because leases limit how long a task runs without its owner.
    """

    endpoint: float
    near_worker: float
    far_worker: float


def heartbeat_interval(announce: Announce, intervals: HeartbeatIntervals) -> float:
    """Return the heartbeat interval in seconds on the stream of an agent."""
    if announce.role is Role.ENDPOINT:
        return intervals.endpoint
    if announce.near:
        return intervals.near_worker
    return intervals.far_worker


def near_entries(
    entries: Sequence[str],
    regions: Mapping[str, str],
    region: str,
    key: str,
    count: int,
) -> frozenset[str]:
    """Return the entries that an agent sends frequent heartbeats to.

    Entries of the agent's region are preferred, then those of unknown region. The
    choice is by rendezvous hashing: agents with the same key choose the same
    entries, and the loss of an entry moves only the agents that had chosen it.
    """

    def rank(entry: str) -> tuple[int, int]:
        distance = {region: 0, "": 1}.get(regions.get(entry, ""), 2)
        return distance, -_rendezvous_weight(entry, key)

    return frozenset(sorted(entries, key=rank)[:count])


def _rendezvous_weight(entry: str, key: str) -> int:
    digest = blake2b(f"{entry}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)
