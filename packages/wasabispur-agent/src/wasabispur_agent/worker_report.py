"""Turn the tasks that a worker lists into reports for the decision component."""

from __future__ import annotations

from wasabispur_core.jobs.task import TasksListed
from wasabispur_core.protocol import Reason, TaskFinished, TaskStopped

from .worker_client import TaskView


def end_report(view: TaskView) -> TaskFinished | TaskStopped:
    """Return the report of a task that ended at the worker."""
    if view.state in ("finished", "failed"):
        return TaskFinished(
            task_id=view.task_id,
            gang_epoch=0,
            succeeded=view.state == "finished",
            result=view.result,
        )
    reason = Reason.LEASE_EXPIRED if view.state == "expired" else Reason.CANCELLED
    return TaskStopped(
        task_id=view.task_id,
        gang_epoch=0,
        reason=reason,
        checkpoint=view.checkpoint,
    )


def stop_report(task_id: str, reason: Reason) -> TaskStopped:
    """Return the report of a task that the worker does not run."""
    return TaskStopped(task_id=task_id, gang_epoch=0, reason=reason)


def running_tasks(views: dict[str, TaskView]) -> tuple[str, ...]:
    """Return the ids of the listed tasks that run."""
    return tuple(task_id for task_id, view in views.items() if not view.ended)


def list_report(views: dict[str, TaskView]) -> TasksListed:
    """Return the report of all tasks that the worker lists."""
    return TasksListed(
        running=running_tasks(views),
        ended=tuple(end_report(view) for view in views.values() if view.ended),
    )
