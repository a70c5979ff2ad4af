"""Measure the CPU time of one operation and the memory of one object."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from wasabispur_core.chart import Chart, ChartCatalogue
from wasabispur_core.jobs.fleet import Fleet, Worker
from wasabispur_core.jobs.job_record import JobRecord, JobSpec
from wasabispur_core.jobs.placement import (
    Assignment,
    free_capacity,
    GangSize,
    place_gang,
)
from wasabispur_core.message import Message
from wasabispur_core.protocol import (
    AttemptNotRun,
    Heartbeat,
    PermitId,
    Reason,
    RenewTasks,
    StartAttempt,
    TaskInventory,
    TaskStatus,
)
from wasabispur_core.requests.permit_action import attempt_chart
from wasabispur_core.requests.request import Request
from wasabispur_core.requests.request_chart import request_chart
from wasabispur_core.requests.request_message import RequestReceived
from wasabispur_core.requests.tombstone import TombstoneStore
from wasabispur_core.work_class import default_classes
from wasabispur_runtime.codec import FROM_AGENT, MessageSchema, TO_AGENT

from .measure_fit import fit, Line, Sample

OBJECT_COUNTS = (100, 1_000, 3_000)
OPERATION_COUNTS = (500, 2_000, 5_000)
WORKER_COUNTS = (30, 110, 325, 650)
RACK_SIZE = 3
"""Workers in each rack, as in both current deployments."""

PLACEMENTS = 20
"""Number of placements whose CPU time is averaged for each fleet size."""


def measure_memory() -> list[Line]:
    """Return the memory of each kind of object, in KB."""
    charts = ChartCatalogue()
    factories: dict[str, Callable[[int], Any]] = {
        "chart instance (request)": partial(_lifecycle, request_chart(charts)),
        "chart instance (attempt)": partial(_lifecycle, attempt_chart(charts)),
        "request in progress, 1 KB body": partial(_request, request_chart(charts)),
        "job of 8 tasks": _job,
        "worker": _worker,
    }
    lines = [_memory_line(name, create) for name, create in factories.items()]
    return [*lines, _tombstone_line()]


def measure_codec() -> list[Line]:
    """Return the CPU time to encode and to decode each kind of message, in µs."""
    lines = []
    for name, messages, message in _messages():
        data = messages.encode(message)
        encode = partial(messages.encode, message)
        decode = partial(messages.decode, data)
        text = f"{name} of {len(data)} bytes"
        lines.append(_time_line(f"encode {text}", encode))
        lines.append(_time_line(f"decode {text}", decode))
    return lines


def measure_placement() -> list[Line]:
    """Return the CPU time to place a gang by the number of workers, in ms."""
    samples = []
    for count in WORKER_COUNTS:
        fleet = Fleet()
        for number in range(count):
            fleet.attach(_worker(number))
        size = GangSize(tasks=8, accelerators=8)
        started = time.process_time()
        for _ in range(PLACEMENTS):
            place_gang(free_capacity(fleet), size)
        elapsed = (time.process_time() - started) / PLACEMENTS
        samples.append(Sample(size=count, value=elapsed * 1000))
    return [fit("place a gang of 8 tasks: CPU time", "ms", "worker", samples)]


def _messages() -> list[tuple[str, MessageSchema, Message]]:
    start = StartAttempt(
        attempt_id="f" * 32 + ".1",
        permit_id=PermitId(incarnation=1, number=1),
        method="POST",
        path="/measure",
        headers={"Content-Type": "application/json"},
        body=b"x" * 1024,
        remaining=10.0,
    )
    ids = tuple(f"job-{number:06}.0" for number in range(8))
    renew = RenewTasks(
        shard="a1", shard_epoch=7, task_ids=ids, lease=15.0, anchor=1000.0
    )
    tasks = tuple(
        TaskStatus(task_id=task_id, gang_epoch=3, started=True) for task_id in ids
    )
    inventory = TaskInventory(shard="a1", shard_epoch=7, tasks=tasks)
    beat = Heartbeat(sequence=1000, bundle_version=7, in_flight=3, free_slots=5)
    return [
        ("Heartbeat", FROM_AGENT, beat),
        ("StartAttempt", TO_AGENT, start),
        ("RenewTasks for 8 tasks", TO_AGENT, renew),
        ("TaskInventory of 8 tasks", FROM_AGENT, inventory),
    ]


def _time_line(name: str, operation: Callable[[], object]) -> Line:
    samples = []
    for count in OPERATION_COUNTS:
        started = time.process_time()
        for _ in range(count):
            operation()
        elapsed = time.process_time() - started
        samples.append(Sample(size=count, value=elapsed * 1e6))
    return fit(name, "µs", "operation", samples)


def _memory_line(name: str, create: Callable[[int], Any]) -> Line:
    samples = []
    for count in OBJECT_COUNTS:
        gc.collect()
        tracemalloc.start()
        kept = [create(number) for number in range(count)]
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        samples.append(Sample(size=count, value=size / 1024))
        kept.clear()
    return fit(name, "KB", "object", samples)


def _tombstone_line() -> Line:
    samples = []
    for count in OBJECT_COUNTS:
        gc.collect()
        tracemalloc.start()
        store = TombstoneStore(1)
        for number in range(count):
            attempt_id = f"{number:032x}.1"
            permit = PermitId(incarnation=1, number=number)
            result = AttemptNotRun(attempt_id=attempt_id, reason=Reason.CANCELLED)
            store.add(attempt_id, permit, result)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        samples.append(Sample(size=count, value=size / 1024))
    return fit("tombstone without a response", "KB", "object", samples)


def _lifecycle(chart: Chart, number: int) -> object:
    return chart.start()


def _request(chart: Chart, number: int) -> Request:
    received = RequestReceived(
        request_id=f"{number:032x}",
        organisation="peachtree",
        work_class="urgent",
        service="tags",
        method="POST",
        path=f"/measure/{number}",
        headers={"Content-Type": "application/json"},
        body=bytes(1024),
        deadline=10.0,
    )
    return Request(
        received=received,
        work_class=default_classes()["urgent"],
        lifecycle=chart.start(),
        deadline=10.0,
    )


def _job(number: int) -> JobRecord:
    spec = JobSpec(
        organisation="peachtree",
        work_class="deferrable",
        command=f"labels {number}",
        tasks=8,
        accelerators=8,
    )
    assignments = tuple(
        Assignment(
            worker_id=f"worker-{number}-{task}",
            accelerators=tuple(range(8)),
        )
        for task in range(8)
    )
    return JobRecord(
        job_id=f"job-{number}", shard="a1", spec=spec, assignments=assignments
    )


def _worker(number: int) -> Worker:
    return Worker(
        worker_id=f"worker-{number}",
        region="Atlanta",
        data_centre="a1",
        rack=f"rack-{number // RACK_SIZE}",
        accelerators=8,
        cores=64,
    )


def measure_objects() -> Sequence[Line]:
    """Return all measurements of this module."""
    return [*measure_memory(), *measure_codec(), *measure_placement()]
