"""Guard the delay and the effects of a bundle that comes into force."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

from wasabispur.job_scheduler import JobScheduler
from wasabispur_core.bundles.bundle_version import (
    ApplyBundle,
    NoBundleInForce,
    POLL_INTERVAL,
)
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.jobs.job_policy import policy_for_data_centre
from wasabispur_core.jobs.job_shard import new_shard
from wasabispur_core.requests.request import decide, RequestState
from wasabispur_core.requests.request_chart import request_chart
from wasabispur_core.requests.request_class import ClassesChanged
from wasabispur_core.storage.circuit import OPEN_TIME_LIMIT
from wasabispur_core.timer import FakeTimerService
from wasabispur_core.work_class import default_classes
from wasabispur_runtime.actor import Actor

from .operators import content

REACHED_WITHIN = 5.0
"""Seconds within which guarantee G8 requires the newest version in all processes."""

URGENT, DEFERRABLE = (default_classes()[name] for name in ("urgent", "deferrable"))


def test_classes_of_the_bundle_replace_the_defaults():
    """Guard against requests that are handled by the classes of an older bundle."""
    state = RequestState("atlanta", request_chart(ChartCatalogue()), Random(1))
    kept, renewed = state.budget(DEFERRABLE), state.budget(URGENT)
    changed = replace(URGENT, retry_budget=0.5)
    decide(ClassesChanged(classes=(changed, DEFERRABLE)), state, 0.0)
    assert state.classes == {"urgent": changed, "deferrable": DEFERRABLE}
    assert state.budget(DEFERRABLE) is kept
    assert state.budget(changed) is not renewed


def test_poll_after_an_outage_is_in_time():
    """Guard against a circuit breaker that stays open for longer than G8 permits."""
    assert OPEN_TIME_LIMIT + POLL_INTERVAL < REACHED_WITHIN


def test_guarantees_and_quotas_of_the_bundle_reach_the_scheduler():
    """Guard against jobs that are placed without the guarantees in force."""
    timers = FakeTimerService()
    shard = new_shard("entry-1", "atl-1", ChartCatalogue(), lambda: "operation")
    other = Actor("other", timers)
    scheduler = JobScheduler(timers, shard, membership=other, table=other)
    scheduler.on_apply_bundle(ApplyBundle(version=1, content=content()))
    (guarantee,) = shard.scheduler.plan.guarantees
    assert (guarantee.organisation, guarantee.shape.name) == ("peachtree", "pair")
    assert shard.scheduler.quotas == {"peachtree": 32}
    assert shard.scheduler.urgent_classes == {"urgent"}


def test_guarantees_elsewhere_do_not_bind_a_shard():
    """Guard against capacity that is reserved for another data centre's guarantees."""
    policy = policy_for_data_centre(content(), "sav-1")
    assert policy.guarantees == ()
    assert policy.quotas == {}


def test_entry_claims_no_shard_before_it_knows_the_guarantees_and_quotas():
    """Guard against jobs that are placed beyond a quota right after a restart."""

    async def main() -> None:
        timers = FakeTimerService()
        shard = new_shard("entry-1", "atl-1", ChartCatalogue(), lambda: "operation")
        other = Actor("other", timers)
        scheduler = JobScheduler(timers, shard, membership=other, table=other)
        scheduler.start()
        await asyncio.sleep(0.01)
        assert "tick:atl-1" not in scheduler.subscriptions
        for _ in range(2):
            scheduler.post(NoBundleInForce())
            await asyncio.sleep(0.01)
        assert "tick:atl-1" in scheduler.subscriptions
        await scheduler.close()

    asyncio.run(main())
