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
class Knocked(Message):
    """Ask the door to open."""

    polite: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Pushed(Message):
    """Ask the door to close."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Creaked(Command):
    """Report one performed action."""

    name: str


class Creak(Action):
    """Report that the door moves."""

    __slots__ = ()


class Slam(Action):
    """Report that the door closes."""

    __slots__ = ()


class Polite(Guard):
    """Hold if the visitor is polite."""

    __slots__ = ()


class Drafty(Guard):
    """Hold if the subject says that there is a draft."""

    __slots__ = ()


@perform.register
def _(action: Creak) -> list[Command]:
    return [Creaked(name="creak")]


@perform.register
def _(action: Slam) -> list[Command]:
    return [Creaked(name="slam")]


@holds.register
def _(guard: Polite) -> bool:
    return guard.message.polite


@holds.register
def _(guard: Drafty) -> bool:
    return guard.subject == "draft"


HEAD = """statechart:
  name: door
  root state:
    name: door
    initial: shut
    states:
"""
DOOR = """      - name: shut
        transitions:
          - event: knocked
            target: open
            guard: polite
            action: creak
          - event: knocked
            guard: not polite
            action: slam
      - name: open
        transitions:
          - target: shut
            guard: drafty
            action: slam
          - event: pushed
            target: gone
      - name: gone
        type: final
"""


def chart(tmp_path: Path, states: str) -> Chart:
    (tmp_path / "door.yaml").write_text(HEAD + states, encoding="utf-8")
    return ChartCatalogue(tmp_path).bind(
        "door", actions=[Creak, Slam], guards=[Polite, Drafty]
    )


def names(commands: list[Command]) -> list[str]:
    return [command.name for command in commands]


def test_transition_whose_guards_hold_is_followed(tmp_path):
    """Guard against a wrong choice between the transitions for one event."""
    door = chart(tmp_path, DOOR).start()
    assert names(door.handle(Knocked(polite=False), None, "", 0.0)) == ["slam"]
    assert door.state == "shut"
    assert names(door.handle(Knocked(), None, "", 0.0)) == ["creak"]
    assert door.state == "open"
    assert not door.final
    door.handle(Pushed(), None, "", 0.0)
    assert door.final
    with pytest.raises(UnexpectedEventError):
        door.handle(Pushed(), None, "", 0.0)


def test_transitions_without_an_event_follow_at_once(tmp_path):
    """Guard against a lifecycle that stays in a state that it has to pass."""
    door = chart(tmp_path, DOOR).start()
    assert names(door.handle(Knocked(), None, "draft", 0.0)) == ["creak", "slam"]
    assert door.state == "shut"


def test_lifecycle_resumes_in_a_recorded_state(tmp_path):
    """Guard against a restarted owner that begins its units anew."""
    door = chart(tmp_path, DOOR).resume("open")
    door.handle(Pushed(), None, "", 0.0)
    assert door.state == "gone"
    with pytest.raises(ChartError, match="no state"):
        chart(tmp_path, DOOR).resume("ajar")


def test_ambiguous_transitions_are_refused(tmp_path):
    """Guard against a chart whose behaviour depends on the order of its lines."""
    ambiguous = DOOR.replace("            guard: not polite\n", "")
    door = chart(tmp_path, ambiguous).start()
    with pytest.raises(ChartError, match="several transitions"):
        door.handle(Knocked(), None, "", 0.0)
    assert door.state == "shut"


@pytest.mark.parametrize(
    "states",
    [
        DOOR.replace(
            "      - name: shut\n", "      - name: shut\n        on entry: slam\n"
        ),
        DOOR
        + """      - name: lobby
        initial: hall
        states:
          - name: hall
""",
    ],
)
def test_unsupported_states_are_refused(tmp_path, states):
    """Guard against a chart of which a part would be ignored."""
    with pytest.raises(ChartError, match="unsupported state"):
        chart(tmp_path, states)
