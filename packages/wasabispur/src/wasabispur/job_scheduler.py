"""Run the job scheduler of one shard at an entry instance."""

from __future__ import annotations

from wasabispur_core.bundles.bundle_version import ApplyBundle, NoBundleInForce
from wasabispur_core.jobs.job_policy import policy_for_data_centre
from wasabispur_core.log_event import SHARD_OWNED, SHARD_OWNERSHIP_LOST
from wasabispur_core.message import Message
from wasabispur_core.sharding.shard import decide, Shard, ShardTick
from wasabispur_core.storage.store import RowsRead, RowsUnavailable
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor
from wasabispur_runtime.log import log

from .job_rows import read_jobs


class JobScheduler(DecisionActor):
    """Maintain the shard's lease and schedule the shard's jobs while it is held."""

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
        self.observing = False

    def on_apply_bundle(self, message: ApplyBundle) -> None:
        """Apply the guarantees and quotas of the bundle that came into force."""
        self.on_message(
            policy_for_data_centre(message.content, self.shard.scheduler.shard)
        )
        self.observe_ownership()

    def on_no_bundle_in_force(self, message: NoBundleInForce) -> None:
        """Schedule without guarantees and quotas, as no bundle has set any."""
        self.observe_ownership()

    def observe_ownership(self) -> None:
        """Start to observe the shard's ownership, once the policy is known.

        An owner that didn't know the quotas would place jobs beyond them.
        """
        if not self.observing:
            self.observing = True
            self.post(ShardTick())

    def on_rows_read(self, message: RowsRead) -> None:
        """Validate job rows; process other rows as they are."""
        if message.read_id.startswith("job/"):
            self.on_message(read_jobs(message, self.shard.scheduler.shard))
        else:
            self.on_message(message)

    def on_rows_unavailable(self, message: RowsUnavailable) -> None:
        """Process a failed read of the shard's row; retry a failed list of jobs."""
        if not message.read_id.startswith("job/"):
            self.on_message(message)

    def on_message(self, message: Message) -> None:
        """Process the message and log a gain or loss of the ownership."""
        super().on_message(message)
        scheduler = self.shard.scheduler
        if scheduler.owning is self.owned:
            return
        self.owned = scheduler.owning
        if self.owned:
            log(SHARD_OWNED, shard=scheduler.shard, epoch=scheduler.lease.epoch)
        else:
            log(SHARD_OWNERSHIP_LOST, shard=scheduler.shard)
