"""Test how a lifecycle follows the transitions of its chart."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

from wasabispur_core.action import Action, Guard, holds, perform
from wasabispur_core.chart import Chart, ChartCatalogue
from wasabispur_core.command import Command
from wasabispur_core.error import ChartError, UnexpectedEventError
from wasabispur_core.message import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequested(Message):
    """Ask the connection to open."""

    allowed: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseRequested(Message):
    """Ask the connection to close."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionPerformed(Command):
    """Report one performed action."""

    name: str


class RecordOpening(Action):
    """Report that the connection opens."""

    __slots__ = ()


class RecordClosing(Action):
    """Report that the connection closes."""

    __slots__ = ()


class Allowed(Guard):
    """Hold if the request is allowed."""

    __slots__ = ()


class Expired(Guard):
    """Hold if the subject says that it has expired."""

    __slots__ = ()


@perform.register
def _(action: RecordOpening) -> list[Command]:
    return [ActionPerformed(name="record_opening")]


@perform.register
def _(action: RecordClosing) -> list[Command]:
    return [ActionPerformed(name="record_closing")]


@holds.register
def _(guard: Allowed) -> bool:
    return guard.message.allowed


@holds.register
def _(guard: Expired) -> bool:
    return guard.subject == "expired"


HEAD = """statechart:
  name: connection
  root state:
    name: connection
    initial: closed
    states:
"""
CONNECTION = """      - name: closed
        transitions:
          - event: open_requested
            target: open
            guard: allowed
            action: record_opening
          - event: open_requested
            guard: not allowed
            action: record_closing
      - name: open
        transitions:
          - target: closed
            guard: expired
            action: record_closing
          - event: close_requested
            target: ended
      - name: ended
        type: final
"""


def chart(tmp_path: Path, states: str) -> Chart:
    (tmp_path / "connection.yaml").write_text(HEAD + states, encoding="utf-8")
    return ChartCatalogue(tmp_path).bind(
        "connection", actions=[RecordOpening, RecordClosing], guards=[Allowed, Expired]
    )


def names(commands: list[Command]) -> list[str]:
    return [command.name for command in commands]


def test_transition_whose_guards_hold_is_followed(tmp_path):
    """Guard against a wrong choice between the transitions for one event."""
    connection = chart(tmp_path, CONNECTION).start()
    assert names(connection.handle(OpenRequested(allowed=False), None, "", 0.0)) == [
        "record_closing"
    ]
    assert connection.state == "closed"
    assert names(connection.handle(OpenRequested(), None, "", 0.0)) == [
        "record_opening"
    ]
    assert connection.state == "open"
    assert not connection.final
    connection.handle(CloseRequested(), None, "", 0.0)
    assert connection.final
    with pytest.raises(UnexpectedEventError):
        connection.handle(CloseRequested(), None, "", 0.0)


def test_transitions_without_an_event_follow_at_once(tmp_path):
    """Guard against a lifecycle that stays in a state that it has to pass."""
    connection = chart(tmp_path, CONNECTION).start()
    assert names(connection.handle(OpenRequested(), None, "expired", 0.0)) == [
        "record_opening",
        "record_closing",
    ]
    assert connection.state == "closed"


def test_lifecycle_resumes_in_a_recorded_state(tmp_path):
    """Guard against a restarted owner that begins its units anew."""
    connection = chart(tmp_path, CONNECTION).resume("open")
    connection.handle(CloseRequested(), None, "", 0.0)
    assert connection.state == "ended"
    with pytest.raises(ChartError, match="no state"):
        chart(tmp_path, CONNECTION).resume("unknown")


def test_ambiguous_transitions_are_refused(tmp_path):
    """Guard against a chart whose behaviour depends on the order of its lines."""
    ambiguous = CONNECTION.replace("            guard: not allowed\n", "")
    connection = chart(tmp_path, ambiguous).start()
    with pytest.raises(ChartError, match="several transitions"):
        connection.handle(OpenRequested(), None, "", 0.0)
    assert connection.state == "closed"


@pytest.mark.parametrize(
    "states",
    [
        CONNECTION.replace(
            "      - name: closed\n",
            "      - name: closed\n        on entry: record_closing\n",
        ),
        CONNECTION
        + """      - name: nested
        initial: inner
        states:
          - name: inner
""",
    ],
)
def test_unsupported_states_are_refused(tmp_path, states):
    """Guard against a chart of which a part would be ignored."""
    with pytest.raises(ChartError, match="unsupported state"):
        chart(tmp_path, states)
