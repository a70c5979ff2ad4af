"""Own one shard as seen from this entry."""

from __future__ import annotations

from wasabispur_core.bundle_version import ApplyBundle
from wasabispur_core.job_policy import policy_for_data_centre
from wasabispur_core.log_event import SHARD_OWNED, SHARD_OWNERSHIP_LOST
from wasabispur_core.message import Message
from wasabispur_core.shard import decide, Shard, ShardTick
from wasabispur_core.store import RowsRead, RowsUnavailable
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor
from wasabispur_runtime.log import log

from .job_rows import read_jobs


class JobScheduler(DecisionActor):
    """Own the shard's lease and, while it is held, the shard's jobs."""

    def __init__(
        self, timers: TimerService, shard: Shard, membership: Actor, table: Actor
    ) -> None:
        super().__init__(
            f"job-scheduler:{shard.scheduler.shard}", timers, shard, decide
        )
        self.shard = shard
        self.membership = membership
        self.table = table
        self.owned = False

    async def opened(self) -> None:
        """Begin to observe the shard."""
        self.post(ShardTick())

    def on_apply_bundle(self, message: ApplyBundle) -> None:
        """Work by the guarantees and quotas of the bundle that came into force."""
        self.on_message(
            policy_for_data_centre(message.content, self.shard.scheduler.shard)
        )

    def on_rows_read(self, message: RowsRead) -> None:
        """Validate job rows before the decisions see them."""
        if message.read_id.startswith("job/"):
            self.on_message(read_jobs(message, self.shard.scheduler.shard))
        else:
            self.on_message(message)

    def on_rows_unavailable(self, message: RowsUnavailable) -> None:
        """Pass on a failed reading of the shard's row; jobs are listed again."""
        if not message.read_id.startswith("job/"):
            self.on_message(message)

    def on_message(self, message: Message) -> None:
        """Decide on the message and log a change of the owner."""
        super().on_message(message)
        scheduler = self.shard.scheduler
        if scheduler.owning is self.owned:
            return
        self.owned = scheduler.owning
        if self.owned:
            log(SHARD_OWNED, shard=scheduler.shard, epoch=scheduler.lease.epoch)
        else:
            log(SHARD_OWNERSHIP_LOST, shard=scheduler.shard)
