"""Bind the state charts of callers' requests to their actions and guards."""

from __future__ import annotations

from ...chart import Chart, ChartCatalogue
from . import cancellation as cancellation, submission as submission
from .intake_action import CallAction, CallGuard


def call_charts(catalogue: ChartCatalogue) -> dict[str, Chart]:
    """Return the charts of callers' requests by name."""
    return {
        chart.name: chart
        for chart in (
            submission_chart(catalogue),
            cancellation_chart(catalogue),
            job_lookup_chart(catalogue),
            queue_lookup_chart(catalogue),
        )
    }


def submission_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a job's submission."""
    return bind_call(catalogue, "submission")


def cancellation_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a job's cancellation."""
    return bind_call(catalogue, "cancellation")


def job_lookup_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a read of a job's state."""
    return bind_call(catalogue, "job_lookup")


def queue_lookup_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a read of a queue's length."""
    return bind_call(catalogue, "queue_lookup")


def bind_call(catalogue: ChartCatalogue, name: str) -> Chart:
    """Return a chart, bound to the actions and guards of all requests.

    These are the subclasses in intake_action and in the modules imported above.
    """
    return catalogue.bind(
        name, actions=CallAction.__subclasses__(), guards=CallGuard.__subclasses__()
    )
