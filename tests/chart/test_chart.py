"""Check the state chart files and their interpreter."""

from __future__ import annotations

import importlib
import pkgutil
import shutil
from pathlib import Path
from random import Random

import pytest
from sismic.model import FinalState

import wasabispur_core
from wasabispur_core.chart import Chart, CHART_DIRECTORY, ChartCatalogue
from wasabispur_core.error import ChartError, UnexpectedEventError
from wasabispur_core.message import Message, snake_case
from wasabispur_core.protocol import PermitGranted, PermitId
from wasabispur_core.requests.outcome import ReplyToCaller
from wasabispur_core.requests.request import decide, RequestState
from wasabispur_core.requests.request_chart import request_chart
from wasabispur_core.requests.request_message import AgentAttached, RequestReceived

CATALOGUE = ChartCatalogue()


def core_modules() -> list:
    return [
        importlib.import_module(module.name)
        for module in pkgutil.walk_packages(
            wasabispur_core.__path__, "wasabispur_core."
        )
    ]


def bound_charts() -> dict[str, Chart]:
    charts = {}
    for module in core_modules():
        for name, value in vars(module).items():
            if name.endswith("_chart") and callable(value):
                chart = value(CATALOGUE)
                charts[chart.name] = chart
    return charts


def message_names(cls: type = Message) -> set[str]:
    names = {snake_case(cls.__name__)}
    return names.union(*(message_names(sub) for sub in cls.__subclasses__()))


def received(request_id: str = "r1") -> RequestReceived:
    return RequestReceived(
        request_id=request_id,
        organisation="peachtree",
        work_class="urgent",
        service="tag-composer",
        method="POST",
        path="/",
        headers={},
        body=b"",
        deadline=3.0,
    )


@pytest.mark.parametrize("name", CATALOGUE.names())
def test_every_chart_is_bound_and_its_names_resolve(name):
    """Guard against a chart that names an action or guard without a class."""
    assert name in bound_charts()


@pytest.mark.parametrize("name", CATALOGUE.names())
def test_every_state_is_reachable(name):
    """Guard against a state that no transition reaches."""
    chart = CATALOGUE.read(name)
    reached = {chart.state_for(chart.root).initial}
    pending = list(reached)
    while pending:
        for transition in chart.transitions_from(pending.pop()):
            if transition.target and transition.target not in reached:
                reached.add(transition.target)
                pending.append(transition.target)
    assert reached == set(chart.states) - {chart.root}


@pytest.mark.parametrize("name", CATALOGUE.names())
def test_only_final_states_are_dead_ends(name):
    """Guard against an object that can never leave a state that isn't final."""
    chart = CATALOGUE.read(name)
    for state_name in set(chart.states) - {chart.root}:
        if isinstance(chart.state_for(state_name), FinalState):
            continue
        targets = {t.target for t in chart.transitions_from(state_name) if t.target}
        assert targets - {state_name}, state_name


@pytest.mark.parametrize("name", CATALOGUE.names())
def test_every_event_is_a_message(name):
    """Guard against an event in a chart that no message class has as its name."""
    chart = CATALOGUE.read(name)
    core_modules()
    events = {t.event for t in chart.transitions if t.event}
    assert events <= message_names()


def test_changed_chart_file_changes_behaviour(tmp_path):
    """Guard against transitions that are coded in Python instead of the chart file."""
    shutil.copytree(CHART_DIRECTORY, tmp_path / "charts")
    path = tmp_path / "charts" / "request.yaml"
    text = path.read_text(encoding="utf-8")
    changed = text.replace(
        "guard: not endpoint_available\n            action: report_not_run",
        "guard: not endpoint_available\n            action: report_unknown",
    )
    assert changed != text
    path.write_text(changed, encoding="utf-8")

    def outcome_of(catalogue: ChartCatalogue) -> str:
        state = RequestState("region", request_chart(catalogue), Random(1))
        replies = decide(received(), state, 0.0)
        return next(r.outcome.value for r in replies if isinstance(r, ReplyToCaller))

    assert outcome_of(CATALOGUE) == "not-run"
    assert outcome_of(ChartCatalogue(tmp_path / "charts")) == "unknown"


def test_unknown_action_is_refused(tmp_path):
    """Guard against a misspelt action name that is found only when it is performed."""
    text = (CHART_DIRECTORY / "request.yaml").read_text(encoding="utf-8")
    changed = text.replace("send_permit_request", "send_permit_requestt")
    (tmp_path / "request.yaml").write_text(changed, encoding="utf-8")
    with pytest.raises(ChartError, match="send_permit_requestt"):
        request_chart(ChartCatalogue(tmp_path))


@pytest.mark.parametrize("text", [None, "statechart: [", "statechart:\n  name: x\n"])
def test_unusable_chart_file_gives_typed_error(tmp_path: Path, text):
    """Guard against an untyped error for a missing or malformed chart file."""
    if text is not None:
        (tmp_path / "request.yaml").write_text(text, encoding="utf-8")
    with pytest.raises(ChartError):
        request_chart(ChartCatalogue(tmp_path))


def test_unexpected_event_is_rejected_by_name():
    """Guard against an unexpected event that is dropped without an error."""
    state = RequestState("region", request_chart(CATALOGUE), Random(1))
    attached = AgentAttached(
        agent_id="a1", service="tag-composer", region="region", slots=8
    )
    decide(attached, state, 0.0)
    decide(received(), state, 0.0)
    request = state.requests["r1"]
    with pytest.raises(UnexpectedEventError, match="request_received"):
        request.lifecycle.handle(received(), state, request, 0.0)
    granted = PermitGranted(
        attempt_id="r1.1",
        permit_id=PermitId(incarnation=1, number=1),
        lifetime=2.0,
    )
    request.lifecycle.handle(granted, state, request, 0.0)
    assert request.lifecycle.state == "running"
