"""Check a bundle before operators propose it, and compare it with a version."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from math import isclose

from .bundle import BundleContent, check_content, InvalidBundleError
from .config_check import (
    check_configuration,
    compare_configurations,
    compare_entries,
    Difference,
    EntryKind,
    Finding,
    Severity,
)

ALL_SLOTS = 1.0
"""Sum of the classes' floors at which no slot is left for the order of arrival."""


ENTRY_KINDS = (
    EntryKind(
        name="organisation",
        entries="organisations",
        added="may use its quotas and guarantees",
        removed="its calls are refused; running jobs go on without a guarantee",
        changed="waiting jobs follow the quotas and guarantees at once",
    ),
    EntryKind(
        name="class",
        entries="classes",
        added="callers may send requests of this class",
        removed="requests of this class are refused",
        changed="waiting and new requests follow it at once",
    ),
    EntryKind(
        name="objective",
        entries="objectives",
        added="the burn report includes it",
        removed="the burn report no longer includes it",
        changed="the burn report uses it from then on",
    ),
    EntryKind(
        name="cordon",
        entries="cordons",
        added="no task is started in the data centre; running tasks continue",
        removed="tasks are started in the data centre again",
    ),
)


@check_configuration.register
def _(content: BundleContent) -> list[Finding]:
    try:
        check_content(content)
    except InvalidBundleError as error:
        # The check of a proposal stops at the first error as well.
        return [
            Finding(
                severity=Severity.ERROR,
                subject="bundle",
                field="",
                value="",
                problem=error.message,
                remedy=error.remedy,
            )
        ]
    return [*_objectives(content), *_floors(content), *_unused_quotas(content)]


def _objectives(content: BundleContent) -> Iterator[Finding]:
    deadlines = {rule.name: rule.deadline for rule in content.classes}
    for objective in content.objectives:
        deadline = deadlines[objective.work_class]
        if objective.threshold > deadline:
            yield Finding(
                severity=Severity.WARNING,
                subject=f"objective {objective.name}",
                field="threshold",
                value=f"{objective.threshold:g} s",
                problem=f"requests of class {objective.work_class} end after their "
                f"deadline of {deadline:g} s, before the threshold",
                remedy="set the threshold to the deadline or less",
            )


def _floors(content: BundleContent) -> Iterator[Finding]:
    floors = sum(rule.floor for rule in content.classes)
    if isclose(floors, ALL_SLOTS) and len(content.classes) > 1:
        yield Finding(
            severity=Severity.WARNING,
            subject="classes",
            field="floor",
            value=f"{floors:g}",
            problem="all slots are reserved, so that weights have no effect under load",
            remedy="lower the floors to less than 1 in sum",
        )


def _unused_quotas(content: BundleContent) -> Iterator[Finding]:
    for organisation in content.organisations:
        if not any(quota.accelerators for quota in organisation.quotas):
            yield Finding(
                severity=Severity.WARNING,
                subject=f"organisation {organisation.name}",
                field="quotas",
                value="",
                problem="without a quota its jobs never get an accelerator",
                remedy="add a quota for a data centre, or remove the organisation",
            )


def unmatched_cordons(
    content: BundleContent, data_centres: Collection[str]
) -> list[Finding]:
    """Return a finding for each cordon of a data centre without agents.

    data_centres contains those with agents, of which each worker has one.
    """
    return [
        Finding(
            severity=Severity.WARNING,
            subject=f"cordon {cordon.name}",
            field="name",
            value=cordon.name,
            problem="no agent is known in this data centre, so that the cordon has no "
            "effect",
            remedy="name one of the data centres with agents: "
            + (", ".join(sorted(data_centres)) or "none is known"),
        )
        for cordon in content.cordons
        if cordon.name not in data_centres
    ]


@compare_configurations.register
def _(content: BundleContent, former: BundleContent) -> list[Difference]:
    differences: list[Difference] = []
    for kind in ENTRY_KINDS:
        differences += compare_entries(kind, content, former)
    if content.reclaim_bound != former.reclaim_bound:
        differences.append(
            Difference(
                subject="bundle",
                field="reclaim_bound",
                before=f"{former.reclaim_bound:g} s",
                after=f"{content.reclaim_bound:g} s",
                effect="the metric of missed reclaims uses it; stops don't change",
            )
        )
    return differences
