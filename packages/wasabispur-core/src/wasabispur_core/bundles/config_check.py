"""Define what the check of a configuration reports before operators send it.

Each kind of configuration registers its checks with check_configuration() and its
comparison with compare_configurations().
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, fields
from enum import StrEnum
from functools import singledispatch
from typing import Any

MISSING = "-"
"""Text for a value that one of two versions lacks."""

IN_FORCE = "in force"
ADDED = "new"
"""Texts for an entry that only one of two versions has."""


class Severity(StrEnum):
    """Define whether a finding prevents a configuration from working as written.

    ERROR: a part of it is refused or has no effect. WARNING: it is valid, but probably
    not what its author meant.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """Describe one problem of a configuration.

    subject names the entry, such as queue prices, field its field, and value the
    field's value as text.
    """

    severity: Severity
    subject: str
    field: str
    value: str
    problem: str
    remedy: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Describe one change against the version in force, and what it does to jobs."""

    subject: str
    field: str
    before: str
    after: str
    effect: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryKind:
    """Define a kind of named entries, and what a change does to callers and jobs.

    entries is the configuration's field that contains them. added is a format string
    with the entry as its argument, and changed is the effect of a change of a field
    that field_effects doesn't contain.
    """

    name: str
    entries: str
    added: str
    removed: str
    changed: str = ""
    field_effects: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckReport:
    """Represent the result of a check."""

    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()

    @property
    def has_errors(self) -> bool:
        """Return whether any finding is an error."""
        return any(found.severity is Severity.ERROR for found in self.findings)


@singledispatch
def check_configuration(content: object) -> list[Finding]:
    """Return the problems of one configuration."""
    raise TypeError(
        f"{type(content).__name__} has no check; "
        "register a function for it with check_configuration.register"
    )


@singledispatch
def compare_configurations(content: Any, former: Any) -> list[Difference]:
    """Return the differences of a configuration from the version in force."""
    raise TypeError(
        f"{type(content).__name__} can't be compared; "
        "register a function for it with compare_configurations.register"
    )


def check_against(content: object, former: object | None) -> CheckReport:
    """Return the report on a configuration and, if given, the version in force."""
    differences = [] if former is None else compare_configurations(content, former)
    return CheckReport(
        findings=tuple(check_configuration(content)), differences=tuple(differences)
    )


def duplicates(names: Iterable[str]) -> list[str]:
    """Return the names that occur more than once, in the order of the second time."""
    seen: set[str] = set()
    found: dict[str, None] = {}
    for name in names:
        if name in seen:
            found[name] = None
        seen.add(name)
    return list(found)


def changed_fields(before: Any, after: Any) -> list[tuple[str, str, str]]:
    """Return the name and both values of each field in which two entries differ."""
    values = (
        (one.name, getattr(before, one.name), getattr(after, one.name))
        for one in fields(after)
    )
    return [(name, str(old), str(new)) for name, old, new in values if old != new]


def compare_entries(kind: EntryKind, content: Any, former: Any) -> Iterator[Difference]:
    """Yield the differences of one kind of entries, which are matched by name."""
    before = {one.name: one for one in getattr(former, kind.entries)}
    after = {one.name: one for one in getattr(content, kind.entries)}
    for name in sorted(before.keys() - after.keys()):
        yield Difference(
            subject=f"{kind.name} {name}",
            field="",
            before=IN_FORCE,
            after=MISSING,
            effect=kind.removed,
        )
    for name, entry in after.items():
        subject = f"{kind.name} {name}"
        if name not in before:
            effect = kind.added.format(entry=entry)
            yield Difference(
                subject=subject, field="", before=MISSING, after=ADDED, effect=effect
            )
            continue
        for changed, first, second in changed_fields(before[name], entry):
            effect = kind.field_effects.get(changed, kind.changed)
            yield Difference(
                subject=subject,
                field=changed,
                before=first,
                after=second,
                effect=effect,
            )
