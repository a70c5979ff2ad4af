"""Compare two versions of the configuration, and describe what changes for jobs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ...bundles.config_check import (
    compare_configurations,
    compare_entries,
    Difference,
    EntryKind,
)
from .policy_draft import PolicyCheckInput, PolicyDraft

QUEUE_EFFECTS = {
    "host": "calls under the former host find no queue; accepted jobs go on",
    "prefix": "calls under the former prefix find no queue; accepted jobs go on",
    "service": "waiting tasks start at the other service; running ones stay",
    "priority": "waiting jobs move in the order, and may be preempted differently",
    "max_attempts": "accepted jobs keep at least the attempts they were accepted with",
    "stretch": "the objectives of accepted jobs change with it",
    "target": "the objectives of accepted jobs change with it",
    "anonymous": "calls without a key are accepted or refused accordingly",
    "needs_advice": "submissions are refused while advice is set",
}
"""What a change of a queue's field does to callers and jobs."""

QUEUES = EntryKind(
    name="queue",
    entries="queues",
    added="accepts jobs for service {entry.service}",
    removed="new jobs are refused; accepted jobs go on as they were accepted",
    field_effects=QUEUE_EFFECTS,
)
ORGANISATIONS = EntryKind(
    name="organisation",
    entries="organisations",
    added="may submit jobs with its keys",
    removed="its keys are withdrawn and its guarantee ends; accepted jobs go on",
    changed="running work of others may be preempted up to the guarantee",
)
SERVICES = EntryKind(
    name="service",
    entries="services",
    added="",
    removed="queues that name it start no more tasks",
    changed="agents check the health of workers at the new path",
)

VERSION_NOT_NEWER = "the version is not newer, so that it is never put in force"


@compare_configurations.register
def _(content: PolicyCheckInput, former: PolicyCheckInput) -> list[Difference]:
    new, old = content.draft, former.draft
    return [
        *_version(new, old),
        *compare_entries(QUEUES, new, old),
        *compare_entries(ORGANISATIONS, new, old),
        *_keys(new, old),
        *compare_entries(SERVICES, new, old),
    ]


def _version(new: PolicyDraft, old: PolicyDraft) -> Iterator[Difference]:
    effect = "" if new.version > old.version else VERSION_NOT_NEWER
    yield Difference(
        subject="configuration",
        field="version",
        before=str(old.version),
        after=str(new.version),
        effect=effect,
    )


def _keys(new: PolicyDraft, old: PolicyDraft) -> Iterator[Difference]:
    """Count keys by organisation, since keys are never shown."""
    after, before = set(new.keys), set(old.keys)
    withdrawn = Counter(key.organisation for key in before - after)
    added = Counter(key.organisation for key in after - before)
    for name in sorted(withdrawn.keys() | added.keys()):
        effect = "calls with a new key are accepted"
        if withdrawn[name]:
            effect = "calls with a withdrawn key are refused; accepted jobs go on"
        yield Difference(
            subject=f"organisation {name}",
            field="keys",
            before=f"{withdrawn[name]} withdrawn",
            after=f"{added[name]} added",
            effect=effect,
        )
