"""Guard the cordons of data centres in bundles."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from wasabispur.job_scheduler import JobScheduler
from wasabispur_agent.worker_runner import WorkerRunner
from wasabispur_core.bundles.bundle import (
    canonical_json,
    CordonedDataCentre,
    digest_of,
)
from wasabispur_core.bundles.bundle_check import unmatched_cordons
from wasabispur_core.bundles.bundle_version import ApplyBundle
from wasabispur_core.bundles.config_check import check_against
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.jobs.job_policy import policy_for_data_centre
from wasabispur_core.jobs.job_shard import new_shard
from wasabispur_core.jobs.task import TaskState
from wasabispur_core.jobs.task_action import task_chart
from wasabispur_core.timer import FakeTimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.bundle_codec import BundleRecords

from .operators import content

CORDONED = replace(content(), cordons=(CordonedDataCentre(name="atl-1"),))

FORMER_DIGEST = "5e8b8e0915ddffecc17014f881cdc44879f546c03c921c742a3d2dd6f9f07c86"
"""Digest of the same content as the release without cordons computed it."""


def test_bundle_without_cordons_is_encoded_as_before():
    """Guard against bundles that former releases refuse for an unknown field."""
    assert digest_of(canonical_json(content())) == FORMER_DIGEST


@pytest.mark.parametrize("bundle", [content(), CORDONED])
def test_bundle_is_read_as_it_was_written(bundle):
    """Guard against bundles that a process refuses because of their cordons."""
    assert BundleRecords().content(canonical_json(bundle)) == bundle


@pytest.mark.parametrize("names", [("",), ("atl-1", "atl-1")])
def test_cordons_have_distinct_names(names):
    """Guard against a cordon that one withdrawal doesn't remove."""
    cordons = tuple(CordonedDataCentre(name=name) for name in names)
    (found,) = check_against(replace(content(), cordons=cordons), None).findings
    assert found.severity == "error"
    assert "cordon" in found.problem


def test_cordon_binds_only_its_own_data_centre():
    """Guard against a cordon that stops the whole system."""
    assert policy_for_data_centre(CORDONED, "atl-1").cordoned
    assert not policy_for_data_centre(CORDONED, "sav-1").cordoned


def test_cordon_and_its_withdrawal_reach_scheduler_and_agent():
    """Guard against a bundle in force whose cordon a process doesn't obey."""

    async def main() -> None:
        timers = FakeTimerService()
        shard = new_shard("entry-1", "atl-1", ChartCatalogue(), lambda: "operation")
        other = Actor("other", timers)
        scheduler = JobScheduler(timers, shard, membership=other, table=other)
        state = TaskState("atl-1", 4, task_chart(ChartCatalogue()), 0.0)
        runner = WorkerRunner(timers, state, SimpleNamespace())
        for bundle in (CORDONED, content()):
            scheduler.on_apply_bundle(ApplyBundle(version=1, content=bundle))
            runner.on_apply_bundle(ApplyBundle(version=1, content=bundle))
            assert shard.scheduler.cordoned is bool(bundle.cordons)
            assert state.cordoned is bool(bundle.cordons)

    asyncio.run(main())


def test_differences_name_a_cordon():
    """Guard against a review that doesn't see that a data centre is cordoned."""
    for after, before in ((CORDONED, content()), (content(), CORDONED)):
        (found,) = check_against(after, before).differences
        assert found.subject == "cordon atl-1"
        assert found.effect


def test_cordon_without_workers_is_reported():
    """Guard against a misspelt cordon that never binds any worker."""
    assert unmatched_cordons(CORDONED, {"atl-1", "sav-1"}) == []
    (found,) = unmatched_cordons(CORDONED, {"sav-1"})
    assert (found.subject, found.severity) == ("cordon atl-1", "warning")
    assert "sav-1" in found.remedy
