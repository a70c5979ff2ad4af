"""Measure what learning the speeds of workers costs the shard's owner."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wasabispur_core.storage.store import encode_json
from wasabispur_core.workload.run_times.run_progress import RunProgress
from wasabispur_core.workload.run_times.worker_speed import (
    SampleSource,
    SpeedSample,
    StepKey,
    WorkerSpeeds,
)
from wasabispur_core.workload.run_times.worker_speed_row import worker_speeds_row

from .fleet_speed import SpeedPlan

WORKERS = 650
STEPS = 200
TASKS = 40
"""The design scale: workers, steps and tasks of each, which run on random workers."""

TASK_SPREAD = 0.2
RUN_TIME = 17.0
REPETITIONS = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedCost:
    """Describe CPU times in ms, but for sample and list in microseconds, and bytes."""

    sample: float
    list: float
    update: float
    row: float
    row_bytes: int
    known_workers: int


def measure_speeds(seed: int) -> SpeedCost:
    """Return what learned speeds cost at the design scale."""
    random, plan, speeds = Random(seed), SpeedPlan(), WorkerSpeeds()
    names = [f"w{number:03}" for number in range(WORKERS)]
    now = used = 0.0
    for step in range(STEPS):
        key = StepKey(f"{step:016x}", 0, SampleSource.END)
        begun = time.process_time()
        for worker_id in random.choices(names, k=TASKS):
            seconds = RUN_TIME * random.lognormvariate(0.0, TASK_SPREAD)
            seconds *= plan.worker_factor(worker_id)
            sample = SpeedSample(key=key, worker_id=worker_id, seconds=seconds)
            speeds.observe(sample, seconds, now)
        now += RUN_TIME
        speeds.compare_due(now)
        used += time.process_time() - begun
        speeds.update(WORKERS, now)
    progress = RunProgress(percent=40, listed_at=5.0, advanced_at=5.0)
    row = worker_speeds_row(speeds)
    return SpeedCost(
        sample=1e6 * used / (STEPS * TASKS),
        list=1e3 * _milliseconds(lambda: progress.whole_time),
        update=_milliseconds(lambda: speeds.update(WORKERS, now)),
        row=_milliseconds(lambda: encode_json(worker_speeds_row(speeds))),
        row_bytes=len(encode_json(row)),
        known_workers=len(row["workers"]),
    )


def _milliseconds(call: Callable[[], object]) -> float:
    begun = time.process_time()
    for _ in range(REPETITIONS):
        call()
    return 1000 * (time.process_time() - begun) / REPETITIONS
