"""Report the cordon of a data centre by the bundle in force.

The schedulers of a shard and the agents of its workers log it alike.
"""

from __future__ import annotations

from ..command import Command, WriteLog
from ..log_event import BUNDLE_CORDON_BEGUN, BUNDLE_CORDON_ENDED


def cordon_log(data_centre: str, cordoned: bool) -> Command:
    """Return the record of the begin or the end of a cordon."""
    event = BUNDLE_CORDON_BEGUN if cordoned else BUNDLE_CORDON_ENDED
    return WriteLog(number=event.number, fields={"data_centre": data_centre})
