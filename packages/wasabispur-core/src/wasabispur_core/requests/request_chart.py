"""Bind the state chart of a request to its actions and guards."""

from __future__ import annotations

from ..chart import Chart, ChartCatalogue
from . import claim_action, request_action, request_guard, request_reply, request_store
from .request import RequestAction, RequestGuard

# Importing a module registers its actions, guards and message handlers.
REGISTERED = (
    claim_action,
    request_action,
    request_guard,
    request_reply,
    request_store,
)


def request_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the request's state chart bound to its actions and guards."""
    return catalogue.bind(
        "request",
        actions=RequestAction.__subclasses__(),
        guards=RequestGuard.__subclasses__(),
    )
