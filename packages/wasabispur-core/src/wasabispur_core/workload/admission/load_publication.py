"""Decide when the shard's owner publishes the load of the fleet."""

from __future__ import annotations

from dataclasses import replace

from ...command import Command
from ...sharding.ownership import WriteRow
from ..owner.fleet_state import FleetState
from .load_row import load_key, load_row
from .load_summary import summarise_load

PUBLICATION_INTERVAL = 1.0
"""Least time in seconds between two writes of the row with the load."""

RENEWAL_INTERVAL = 2.0
"""Seconds after which the load is written again while a service is contended.

It is less than half of LOAD_AGE_LIMIT, after which entries no longer use a load.
"""


def write_load(state: FleetState, now: float) -> list[Command]:
    """Write the load if it has changed, or to confirm that a service is contended."""
    published = state.published_load
    if not published.enabled or now - published.computed_at < PUBLICATION_INTERVAL:
        return []
    published.computed_at = now
    load = summarise_load(state, now)
    renewal_due = load.contended and now - published.written_at >= RENEWAL_INTERVAL
    if not renewal_due and not published.differs(load):
        return []
    sequence = 1 + (published.load.sequence if published.load else 0)
    published.load = load = replace(load, sequence=sequence)
    published.written_at = now
    return [WriteRow(key=load_key(), value=load_row(load))]
