"""Store the learned factors of workers in a row, and restore them from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ...message import Message
from ...storage.store import encode_json
from ..row_check import row_problem
from .run_time_row import ROW_BYTES_LIMIT, ROW_OVERHEAD_BYTES, run_times_prefix
from .worker_speed import FACTOR_LIMITS, WORKER_LIMIT, WorkerSpeeds

STORED_PRECISION = 0.001
"""Factors and weights are stored as whole multiples of this."""

WEIGHT_LIMIT = 100.0
"""Largest plausible stored weight; SAMPLE_DECAY keeps valid ones below 7."""

NUMBER_BYTES = 12
"""Bytes of the numbers and separators of one worker in the row, at most."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredSpeeds:
    """Represent the factors of workers, the most certain ones first.

    factors and weights, which are numbers of samples, are in thousandths.
    """

    workers: tuple[str, ...] = ()
    factors: tuple[int, ...] = ()
    weights: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerSpeedsArrived(Message):
    """Deliver the factors of workers as a former owner learned them."""

    stored: StoredSpeeds


@row_problem.register
def _(value: StoredSpeeds) -> str:
    if not len(value.workers) == len(value.factors) == len(value.weights):
        return "the numbers of workers, factors and weights differ"
    if len(value.workers) > WORKER_LIMIT:
        return f"there are more than {WORKER_LIMIT} workers"
    least, most = FACTOR_LIMITS
    if not all(least <= one * STORED_PRECISION <= most for one in value.factors):
        return "a factor is out of range"
    if not all(0 < one * STORED_PRECISION <= WEIGHT_LIMIT for one in value.weights):
        return "a weight is out of range"
    return ""


def worker_speeds_key() -> str:
    """Return the key of the row with the factors of workers."""
    return run_times_prefix() + "worker-speeds"


def worker_speeds_row(speeds: WorkerSpeeds) -> dict[str, Any]:
    """Return the row of the most certain factors, as many as it can hold."""
    weights = {one: speeds.estimates[one].weight for one in speeds.factors}
    row: dict[str, list[Any]] = {"workers": [], "factors": [], "weights": []}
    size = ROW_OVERHEAD_BYTES
    for worker_id in sorted(weights, key=lambda one: (-weights[one], one)):
        size += len(encode_json(worker_id)) + NUMBER_BYTES
        if size > ROW_BYTES_LIMIT:
            break
        row["workers"].append(worker_id)
        row["factors"].append(round(speeds.factors[worker_id] / STORED_PRECISION))
        row["weights"].append(max(round(weights[worker_id] / STORED_PRECISION), 1))
    return dict(row)


def restore_speeds(speeds: WorkerSpeeds, stored: StoredSpeeds, now: float) -> None:
    """Add the stored factors as samples older than those learned since."""
    rows = zip(stored.workers, stored.factors, stored.weights, strict=True)
    for worker_id, factor, weight in rows:
        speeds.restore(
            worker_id, factor * STORED_PRECISION, weight * STORED_PRECISION, now
        )
