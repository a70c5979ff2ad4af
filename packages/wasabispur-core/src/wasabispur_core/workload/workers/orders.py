"""Derive a worker's orders from the units that are placed on the worker.

The entry instance that owns the shard writes the orders, and the worker's agent carries
them out.
"""

from __future__ import annotations

from itertools import islice
from operator import attrgetter

from ...storage.store import text_size
from ..jobs.unit import ACTIVE, Unit
from ..owner.fleet_state import FleetState
from .reported_worker import Worker
from .worker import RunOrder, WorkerOrders

RUN_ORDER_BYTES = 160
"""Size of the longest order in an orders row, without its checkpoint."""

UNKNOWN_RUNS_LIMIT = 100
"""Runs without an order that a worker is instructed to stop at a time.

More of them would not leave enough room for orders in the worker's row.
"""


def order_size(checkpoint: str) -> int:
    """Return the size in bytes of a run's order with a checkpoint."""
    return RUN_ORDER_BYTES + (text_size(checkpoint) if checkpoint else 0)


def orders_for(worker: Worker, state: FleetState) -> WorkerOrders:
    """Return the runs that the worker should have, and those that it should stop."""
    runs: list[RunOrder] = []
    payloads: dict[str, str] = {}
    units = state.units_on(worker.worker_id)
    for unit in sorted(units, key=attrgetter("unit_id")):
        wanted = _run_orders(unit, worker)
        runs += wanted
        if any(not order.stop for order in wanted):
            job_id = unit.unit_id.job_id
            payloads[job_id] = state.jobs[job_id].spec.payload
    known = {(order.task, order.run) for order in runs}
    unknown = (
        RunOrder(task=run.task, run=run.run, job_id="", stop=True)
        for run in worker.unknown_runs
        if (run.task, run.run) not in known and not state.is_held(run.task)
    )
    runs += islice(unknown, UNKNOWN_RUNS_LIMIT)
    return WorkerOrders(
        worker_id=worker.worker_id,
        incarnation=worker.info.incarnation,
        epoch=state.epoch,
        acknowledged=worker.acknowledged,
        session=worker.session,
        runs=tuple(runs),
        payloads=payloads,
    )


def _run_orders(unit: Unit, worker: Worker) -> list[RunOrder]:
    return [
        RunOrder(
            task=str(unit.task_id(member.index)),
            run=unit.run,
            job_id=unit.unit_id.job_id,
            checkpoint=unit.start_checkpoint,
            stop=unit.state != ACTIVE,
        )
        for member in unit.open_members_on(worker.worker_id)
        if member.worker_ref.incarnation == worker.info.incarnation
    ]
