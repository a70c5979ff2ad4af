"""Check a configuration of queues and organisations before operators send it."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import permutations

from ...bundles.config_check import check_configuration, duplicates, Finding, Severity
from ..jobs.spec import JOB_ID_PATTERN
from .policy import Organisation, Queue
from .policy_draft import PolicyCheckInput, PolicyDraft

URGENT = 0
"""Priority of the jobs that a guarantee covers."""


@check_configuration.register
def _(content: PolicyCheckInput) -> list[Finding]:
    draft = content.draft
    return [
        *_ignored_fields(draft),
        *_repeated_entries(draft),
        *_queues(draft),
        *_hidden_queues(draft),
        *_organisations(draft),
        *_guarantees(draft, content.accelerators),
        *_unused_services(draft),
    ]


def _ignored_fields(draft: PolicyDraft) -> Iterator[Finding]:
    for name, known in draft.unknown_fields:
        yield Finding(
            severity=Severity.WARNING,
            subject="configuration",
            field=name,
            value="",
            problem="the field is not known and has no effect",
            remedy=f"write {known} if that is meant, or remove it",
        )


def _repeated_entries(draft: PolicyDraft) -> Iterator[Finding]:
    entries = {
        "queue": [queue.name for queue in draft.queues],
        "organisation": [one.name for one in draft.organisations],
        "service": [service.name for service in draft.services],
    }
    for kind, names in entries.items():
        for name in duplicates(names):
            yield _error(
                f"{kind} {name}",
                "name",
                name,
                "the name occurs twice; only the last entry takes effect",
                "rename or remove one of them",
            )
    digests = {(key.digest, key.organisation) for key in draft.keys}
    for digest in duplicates(digest for digest, _ in digests):
        owners = sorted(key.organisation for key in draft.keys if key.digest == digest)
        yield _error(
            f"organisation {owners[-1]}",
            "keys",
            "(hidden)",
            f"a key belongs to {' and '.join(owners)}; its calls count for one of them",
            "give each organisation keys of its own",
        )


def _queues(draft: PolicyDraft) -> Iterator[Finding]:
    services = {service.name for service in draft.services}
    for queue in draft.queues:
        yield from _unreachable_queue(queue, services)
        yield from _queue_limits(queue)


def _unreachable_queue(queue: Queue, services: set[str]) -> Iterator[Finding]:
    subject = f"queue {queue.name}"
    if not queue.host:
        yield _error(subject, "host", "", "no call has an empty host", "set the host")
    if not queue.prefix.startswith("/"):
        yield _error(
            subject,
            "prefix",
            queue.prefix,
            "no path begins like this",
            "begin the prefix with /",
        )
    if queue.service not in services:
        yield _error(
            subject,
            "service",
            queue.service,
            "the configuration has no such service, so its jobs never start",
            "name a service of the configuration, or add this one",
        )
    if queue.needs_advice:
        yield _error(
            subject,
            "advice",
            "set",
            "advice is not supported, so all submissions are refused",
            "remove advice from the queue",
        )


def _queue_limits(queue: Queue) -> Iterator[Finding]:
    subject = f"queue {queue.name}"
    if queue.max_attempts < 1:
        yield _error(
            subject,
            "max_attempts",
            str(queue.max_attempts),
            "a job fails with its first failed run, as with 1",
            "set it to 1 or more",
        )
    if queue.priority < URGENT:
        yield _error(
            subject,
            "priority",
            str(queue.priority),
            "no guarantee covers jobs of a negative priority",
            "use 0 for the most urgent queue",
        )
    if queue.stretch <= 0 or queue.target < 0:
        yield _error(
            subject,
            "stretch, target",
            f"{queue.stretch:g}, {queue.target:g} s",
            "the objective is before the end of any run, so all jobs are late",
            "set stretch to 1 or more and target to 0 or more",
        )
    elif queue.stretch < 1 or (queue.stretch == 1 and queue.target == 0):
        yield Finding(
            severity=Severity.WARNING,
            subject=subject,
            field="stretch, target",
            value=f"{queue.stretch:g}, {queue.target:g} s",
            problem="a job meets its objective only if it starts without any delay",
            remedy="raise stretch above 1 or target above 0",
        )


def _hidden_queues(draft: PolicyDraft) -> Iterator[Finding]:
    places: dict[tuple[str, str], Queue] = {}
    for queue in draft.queues:
        first = places.setdefault((queue.host, queue.prefix), queue)
        if first is not queue and first.name != queue.name:
            yield _error(
                f"queue {queue.name}",
                "host, prefix",
                f"{queue.host} {queue.prefix}",
                f"queue {first.name} has the same host and prefix and takes all calls",
                "change the prefix of one of them",
            )
    for outer, inner in permutations(draft.queues, 2):
        rest = inner.prefix.removeprefix(outer.prefix)
        same_host = inner.host == outer.host and inner.prefix.startswith(outer.prefix)
        if same_host and JOB_ID_PATTERN.fullmatch(rest):
            yield Finding(
                severity=Severity.WARNING,
                subject=f"queue {inner.name}",
                field="prefix",
                value=inner.prefix,
                problem=f"it takes the calls of queue {outer.name} for job ids that "
                f"begin with {rest}",
                remedy="end both prefixes with /",
            )


def _organisations(draft: PolicyDraft) -> Iterator[Finding]:
    owners = {key.organisation for key in draft.keys}
    all_anonymous = all(queue.anonymous for queue in draft.queues)
    for organisation in draft.organisations:
        if organisation.name not in owners and not all_anonymous:
            yield Finding(
                severity=Severity.WARNING,
                subject=f"organisation {organisation.name}",
                field="keys",
                value="",
                problem="without a key it can't submit jobs",
                remedy="add a key, or remove the organisation",
            )


def _guarantees(draft: PolicyDraft, accelerators: int | None) -> Iterator[Finding]:
    guarantees = [one for one in draft.organisations if one.guaranteed_accelerators]
    urgent = any(queue.priority == URGENT for queue in draft.queues)
    for organisation in guarantees:
        yield from _guarantee(organisation, urgent)
    total = sum(max(one.guaranteed_accelerators, 0) for one in guarantees)
    if accelerators is not None and total > accelerators:
        yield _error(
            "organisations",
            "guaranteed_accelerators",
            str(total),
            f"the fleet has {accelerators} accelerators, so that not all guarantees "
            "can be kept at once",
            "lower the guarantees or add workers",
        )


def _guarantee(organisation: Organisation, urgent: bool) -> Iterator[Finding]:
    subject = f"organisation {organisation.name}"
    value = str(organisation.guaranteed_accelerators)
    if organisation.guaranteed_accelerators < 0:
        yield _error(
            subject,
            "guaranteed_accelerators",
            value,
            "a negative guarantee covers no job",
            "set it to 0 or more",
        )
    elif not urgent:
        yield _error(
            subject,
            "guaranteed_accelerators",
            value,
            "a guarantee covers jobs of priority 0, and no queue has that priority",
            "give a queue priority 0, or remove the guarantee",
        )


def _unused_services(draft: PolicyDraft) -> Iterator[Finding]:
    used = {queue.service for queue in draft.queues}
    for service in draft.services:
        if service.name not in used:
            yield Finding(
                severity=Severity.WARNING,
                subject=f"service {service.name}",
                field="name",
                value=service.name,
                problem="no queue uses it, so its workers stay idle",
                remedy="add a queue, or remove the service",
            )


def _error(subject: str, field: str, value: str, problem: str, remedy: str) -> Finding:
    return Finding(
        severity=Severity.ERROR,
        subject=subject,
        field=field,
        value=value,
        problem=problem,
        remedy=remedy,
    )
