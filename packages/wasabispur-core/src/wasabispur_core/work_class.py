"""Define the classes of work that callers send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkClass:
    """Describe the scheduling settings of one class.

    The floor is a share of the slots, the deadline is in seconds, and the retry
    budget is the number of retries for each first attempt.
    """

    name: str
    weight: float
    floor: float
    urgent: bool
    idempotent: bool
    deadline: float
    queue_limit: int
    retry_budget: float


DEFAULT_CLASSES = (
    WorkClass(
        name="urgent",
        weight=8.0,
        floor=0.3,
        urgent=True,
        idempotent=True,
        deadline=30.0,
        queue_limit=2_000,
        retry_budget=0.1,
    ),
    WorkClass(
        name="deferrable",
        weight=1.0,
        floor=0.1,
        urgent=False,
        idempotent=True,
        deadline=300.0,
        queue_limit=10_000,
        retry_budget=0.1,
    ),
    WorkClass(
        name="order",
        weight=4.0,
        floor=0.1,
        urgent=False,
        idempotent=False,
        deadline=30.0,
        queue_limit=2_000,
        retry_budget=0.1,
    ),
)


def default_classes() -> dict[str, WorkClass]:
    """Return the classes that apply until a bundle is in force, by name."""
    return {work_class.name: work_class for work_class in DEFAULT_CLASSES}
