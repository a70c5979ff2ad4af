"""Define the content of a bundle, its canonical form and its checks.

A bundle is a versioned and signed set of settings that is in force in all entry
instances and agents: organisations with quotas and guarantees, work classes, and
objectives.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from ..error import WasabispurError
from ..jobs.guarantee import GuaranteedShape
from ..work_class import WorkClass

CONTENT_SCHEMA = 1
"""Schema of the content that this release reads and writes."""

CONTENT_LIMIT_BYTES = 44 * 1024
"""Largest size in bytes of the canonical content, escaped as in a row.

The rest of a row takes up to 18 KiB: a summary and four notes of 500 characters,
each of up to 6 bytes, names, digest and signature.
"""

SIGNATURE_CONTEXT = b"wasabispur bundle sign-off 1\n"
"""Prefix of the signed bytes, so that a sign-off is valid for no other purpose."""


class BundleError(WasabispurError):
    """Report a failure of a bundle operation."""


class InvalidBundleError(BundleError):
    """Report content that is inconsistent or exceeds a limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """Limit the accelerators that an organisation uses in a data centre."""

    data_centre: str
    accelerators: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Define the quotas and guarantees of one organisation."""

    name: str
    quotas: tuple[Quota, ...] = ()
    guarantees: tuple[GuaranteedShape, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """Require that the target share of requests starts within threshold seconds.

    An empty organisation stands for the requests of all organisations.
    """

    name: str
    work_class: str
    organisation: str = ""
    target: float
    threshold: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CordonedDataCentre:
    """Request that no task of a job be started in a data centre."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleContent:
    """Define all settings of one bundle version.

    reclaim_bound is the required bound, in seconds, on the time until an organisation
    gets back guaranteed accelerators from other organisations' jobs.
    """

    schema: int = CONTENT_SCHEMA
    organisations: tuple[Organisation, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    reclaim_bound: float
    objectives: tuple[Objective, ...] = ()
    cordons: tuple[CordonedDataCentre, ...] = ()

    def is_cordoned(self, data_centre: str) -> bool:
        """Return whether the content cordons a data centre."""
        return any(cordon.name == data_centre for cordon in self.cordons)


def canonical_json(content: BundleContent) -> str:
    """Return the canonical JSON text of the content: equal content has equal text."""
    value = asdict(content)
    if not content.cordons:
        # Releases without cordons refuse a text with a field that they don't know.
        del value["cordons"]
    return json.dumps(
        value,
        sort_keys=True,
        separators=(",", ":"),
        allow_nan=False,
        default=_enum_value,
    )


def digest_of(text: str) -> str:
    """Return the SHA-256 digest of a content text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def signature_payload(
    *, change_id: str, proposer: str, base_version: int, digest: str
) -> bytes:
    """Return the bytes that a sign-off signs."""
    fields = {
        "base_version": base_version,
        "change_id": change_id,
        "digest": digest,
        "proposer": proposer,
    }
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    return SIGNATURE_CONTEXT + text.encode()


def check_content(content: BundleContent) -> None:
    """Raise InvalidBundleError for the first inconsistency or exceeded limit."""
    _check_schema(content)
    _check_unique("organisation", (item.name for item in content.organisations))
    _require(bool(content.classes), "no classes", "define at least one")
    _check_unique("class", (item.name for item in content.classes))
    _check_unique("objective", (item.name for item in content.objectives))
    _check_unique("cordon", (item.name for item in content.cordons))
    _require(content.reclaim_bound > 0, "reclaim_bound", "set it above 0 s")
    for organisation in content.organisations:
        _check_organisation(organisation)
    for rule in content.classes:
        _check_class(rule)
    floors = sum(rule.floor for rule in content.classes)
    _require(floors <= 1, "the sum of the classes' floors", "lower it to at most 1")
    for objective in content.objectives:
        _check_objective(objective, content)
    _check_size(canonical_json(content))


def escaped_size(text: str) -> int:
    """Return the size in bytes of a text as a JSON string in a row."""
    return len(json.dumps(text))


def _check_schema(content: BundleContent) -> None:
    if content.schema != CONTENT_SCHEMA:
        raise InvalidBundleError(
            f"the content has schema {content.schema}, not {CONTENT_SCHEMA}",
            "write the content for this release, or upgrade the entries first",
        )


def _check_organisation(organisation: Organisation) -> None:
    owner = f"organisation {organisation.name!r}"
    quotas = {quota.data_centre: quota.accelerators for quota in organisation.quotas}
    _check_unique(f"quota of {owner}", (q.data_centre for q in organisation.quotas))
    _check_unique(f"shape of {owner}", (g.name for g in organisation.guarantees))
    guaranteed: Counter[str] = Counter()
    for quota in organisation.quotas:
        _require(
            quota.accelerators >= 0,
            f"quota of {owner} in {quota.data_centre}",
            "set it to 0 or more",
        )
    for shape in organisation.guarantees:
        _require(
            shape.blocks > 0 and shape.block_size > 0,
            f"shape {shape.name!r} of {owner}",
            "give it at least one block of at least one accelerator",
        )
        guaranteed[shape.data_centre] += shape.blocks * shape.block_size
    for data_centre, accelerators in guaranteed.items():
        _require(
            accelerators <= quotas.get(data_centre, 0),
            f"{accelerators} guaranteed accelerators of {owner} in {data_centre}",
            f"raise the quota there from {quotas.get(data_centre, 0)}",
        )


def _check_class(rule: WorkClass) -> None:
    owner = f"class {rule.name!r}"
    _require(rule.weight > 0, f"weight of {owner}", "set it above 0")
    _require(0 <= rule.floor <= 1, f"floor of {owner}", "set it from 0 to 1")
    _require(rule.deadline > 0, f"deadline of {owner}", "set it above 0 s")
    _require(rule.queue_limit > 0, f"queue limit of {owner}", "set it above 0")
    _require(rule.retry_budget >= 0, f"retry budget of {owner}", "set it to 0 or more")


def _check_objective(objective: Objective, content: BundleContent) -> None:
    owner = f"objective {objective.name!r}"
    classes = {rule.name for rule in content.classes}
    organisations = {item.name for item in content.organisations} | {""}
    _require(0 < objective.target < 1, f"target of {owner}", "set it between 0 and 1")
    _require(objective.threshold > 0, f"threshold of {owner}", "set it above 0 s")
    _require(objective.work_class in classes, f"class of {owner}", "name a class")
    _require(
        objective.organisation in organisations,
        f"organisation of {owner}",
        "name an organisation of the bundle, or none",
    )


def _check_unique(subject: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        _require(bool(name), f"an empty name of {subject}", "give it a name")
        _require(count == 1, f"{subject} {name!r} twice", "keep one of them")


def _check_size(text: str) -> None:
    size = escaped_size(text)
    if size > CONTENT_LIMIT_BYTES:
        raise InvalidBundleError(
            f"the content has {size} bytes, more than the limit {CONTENT_LIMIT_BYTES}",
            "remove organisations, shapes or objectives that are not used",
        )


def _require(condition: bool, problem: str, remedy: str) -> None:
    if not condition:
        raise InvalidBundleError(f"the bundle is invalid: {problem}", remedy)


def _enum_value(value: Any) -> Any:
    return value.value
