"""Bind the request chart to all its actions and guards."""

from __future__ import annotations

from . import claim_action
from .chart import Chart, ChartCatalogue
from .request_action import RequestAction, RequestGuard

# Importing a module defines its actions.
ACTION_MODULES = (claim_action,)


def request_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the request chart bound to its actions and guards."""
    return catalogue.bind(
        "request",
        actions=RequestAction.__subclasses__(),
        guards=RequestGuard.__subclasses__(),
    )
