"""Load state charts from files and interpret them.

A decision component has one Lifecycle for each of its objects, such as a request, and
handles each message about the object as an event of the chart. A guard in a chart is a
list of names that all have to hold; "not" negates the name that follows it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ruamel.yaml.error import YAMLError
from sismic.exceptions import StatechartError
from sismic.io import import_from_yaml
from sismic.model import BasicState, FinalState, Statechart

from .action import Action, Guard, holds, perform
from .command import Command
from .error import ChartError, UnexpectedEventError
from .message import event_name, Message, snake_case

CHART_DIRECTORY = Path(__file__).parent / "charts"

ActionClass = type[Action[Any, Any]]
GuardClass = type[Guard[Any, Any]]

EVENTLESS = ""
"""Key of the transitions that need no event."""


def split_names(code: str | None) -> list[str]:
    """Split the code of an action or guard in a chart into names."""
    return (code or "").replace(",", " ").split()


@dataclass(frozen=True, slots=True)
class Transition:
    """Represent a transition with its guards and actions.

    A transition without a target leaves the state as it is. guards contains each guard
    with the result that it has to have.
    """

    target: str
    guards: tuple[tuple[GuardClass, bool], ...]
    actions: tuple[ActionClass, ...]


class Chart:
    """Bind a state chart to the classes of its actions and guards.

    transitions contains the transitions by source state and event.
    """

    def __init__(
        self,
        name: str,
        statechart: Statechart,
        actions: Iterable[ActionClass],
        guards: Iterable[GuardClass],
    ) -> None:
        self.name = name
        self.statechart = statechart
        self.actions = {snake_case(cls.__name__): cls for cls in actions}
        self.guards = {snake_case(cls.__name__): cls for cls in guards}
        self.check_names()
        self.check_states()
        root = statechart.state_for(statechart.root)
        self.initial: str = root.initial
        self.final_states = frozenset(
            name
            for name in statechart.states
            if isinstance(statechart.state_for(name), FinalState)
        )
        self.transitions: dict[str, dict[str, list[Transition]]] = {}
        for transition in statechart.transitions:
            by_event = self.transitions.setdefault(transition.source, {})
            same_event = by_event.setdefault(transition.event or EVENTLESS, [])
            same_event.append(self._bound_transition(transition))

    def check_names(self) -> None:
        """Raise ChartError if an action or guard of the chart has no class."""
        for name in self.action_names():
            if name not in self.actions:
                raise self.unknown_name_error("action", name)
        for transition in self.statechart.transitions:
            for name in split_names(transition.guard):
                if name != "not" and name not in self.guards:
                    raise self.unknown_name_error("guard", name)

    def check_states(self) -> None:
        """Raise ChartError if the chart has nested states or actions on entry or exit.

        The interpreter supports what the charts of this project need.
        """
        root = self.statechart.root
        for name in self.statechart.children_for(root):
            state = self.statechart.state_for(name)
            supported = isinstance(state, (BasicState, FinalState))
            if not supported or state.on_entry or state.on_exit:
                raise ChartError(
                    f"chart {self.name} has the unsupported state {name!r}",
                    "use states below the root only, and actions on transitions",
                )

    def unknown_name_error(self, kind: str, name: str) -> ChartError:
        """Return the error for an action or guard name that has no class."""
        return ChartError(
            f"chart {self.name} names the unknown {kind} {name!r}",
            f"correct the name in the chart file or define the {kind}",
        )

    def action_names(self) -> list[str]:
        """Return the names of all actions in the chart."""
        names: list[str] = []
        for transition in self.statechart.transitions:
            names += split_names(transition.action)
        return names

    def start(self) -> Lifecycle:
        """Return a new lifecycle in the chart's initial state."""
        return Lifecycle(self, self.initial)

    def has_state(self, state: str) -> bool:
        """Return whether a recorded state is one of the chart's."""
        return state in self.statechart.states

    def resume(self, state: str) -> Lifecycle:
        """Return a lifecycle in a recorded state.

        Raise ChartError if the chart lacks the state.
        """
        if not self.has_state(state):
            raise ChartError(
                f"chart {self.name} has no state {state!r}",
                "upgrade this process to the version that wrote the record",
            )
        return Lifecycle(self, state)

    def _bound_transition(self, transition: Any) -> Transition:
        guards: list[tuple[GuardClass, bool]] = []
        expected = True
        for name in split_names(transition.guard):
            if name == "not":
                expected = False
                continue
            guards.append((self.guards[name], expected))
            expected = True
        return Transition(
            target=transition.target or "",
            guards=tuple(guards),
            actions=tuple(
                self.actions[name] for name in split_names(transition.action)
            ),
        )


class Lifecycle:
    """Track the state of one object in a chart."""

    __slots__ = ("chart", "state")

    def __init__(self, chart: Chart, state: str) -> None:
        self.chart = chart
        self.state = state

    @property
    def final(self) -> bool:
        """Return whether the lifecycle is in a final state."""
        return self.state in self.chart.final_states

    def handle(
        self, message: Message, component: Any, subject: Any, now: float
    ) -> list[Command]:
        """Handle the message as an event and return the commands of its actions.

        Raise UnexpectedEventError if the current state has no transition for it.
        """
        name = event_name(message)
        context = (component, subject, message, now)
        commands = self._follow_eventless(context)
        transition = self._enabled(name, context)
        if transition is None:
            raise UnexpectedEventError(
                f"chart {self.chart.name} has no transition for {name} in {self.state}",
                "add a transition to the chart; one without a target ignores the event",
            )
        commands += self._follow(transition, context)
        return commands + self._follow_eventless(context)

    def _follow_eventless(
        self, context: tuple[Any, Any, Message, float]
    ) -> list[Command]:
        """Follow transitions without an event until none is enabled."""
        commands: list[Command] = []
        while transition := self._enabled(EVENTLESS, context):
            commands += self._follow(transition, context)
        return commands

    def _enabled(
        self, event: str, context: tuple[Any, Any, Message, float]
    ) -> Transition | None:
        """Return the transition whose guards hold; raise ChartError if several do."""
        enabled = [
            transition
            for transition in self.chart.transitions.get(self.state, {}).get(event, ())
            if all(
                bool(holds(guard(*context))) is expected
                for guard, expected in transition.guards
            )
        ]
        if len(enabled) > 1:
            raise ChartError(
                f"chart {self.chart.name} has several transitions for "
                f"{event or 'no event'} in {self.state}",
                "make their guards exclude each other",
            )
        return enabled[0] if enabled else None

    def _follow(
        self, transition: Transition, context: tuple[Any, Any, Message, float]
    ) -> list[Command]:
        """Perform the transition's actions and enter its target."""
        commands: list[Command] = []
        for action in transition.actions:
            commands += perform(action(*context))
        self.state = transition.target or self.state
        return commands


class ChartCatalogue:
    """Load state charts by name from a directory."""

    def __init__(self, directory: Path | None = None) -> None:
        self.directory = directory or CHART_DIRECTORY
        self.parsed: dict[str, Statechart] = {}

    def names(self) -> list[str]:
        """Return the names of all charts in the directory."""
        return sorted(path.stem for path in self.directory.glob("*.yaml"))

    def read(self, name: str) -> Statechart:
        """Return the parsed chart; raise ChartError if it is missing or malformed.

        Each file is parsed once, because parsing takes tens of milliseconds.
        """
        if name not in self.parsed:
            self.parsed[name] = self._parse(name)
        return self.parsed[name]

    def _parse(self, name: str) -> Statechart:
        path = self.directory / f"{name}.yaml"
        try:
            return import_from_yaml(path.read_text(encoding="utf-8"))
        except OSError as error:
            raise ChartError(
                f"chart file {path} can't be read: {error.strerror}",
                "restore the file or correct the chart directory",
            ) from error
        except (StatechartError, ValueError, YAMLError) as error:
            raise ChartError(
                f"chart file {path} is not a valid chart: {error}",
                "correct the file",
            ) from error

    def bind(
        self,
        name: str,
        *,
        actions: Iterable[ActionClass] = (),
        guards: Iterable[GuardClass] = (),
    ) -> Chart:
        """Return the chart bound to the classes of its actions and guards."""
        return Chart(name, self.read(name), actions, guards)
