"""Load state charts from files and interpret them.

A decision component has one Lifecycle for each of its objects, such as a request, and
handles each message about the object as an event of the chart. A guard in a chart is a
list of names that all have to hold; "not" negates the name that follows it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import deepcopy
from pathlib import Path
from typing import Any

from ruamel.yaml.error import YAMLError
from sismic.code import Evaluator
from sismic.exceptions import StatechartError
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Event, Statechart

from .action import Action, Guard, holds, perform
from .command import Command
from .error import ChartError, UnexpectedEventError
from .message import event_name, Message, snake_case

CHART_DIRECTORY = Path(__file__).parent / "charts"

ActionClass = type[Action[Any, Any]]
GuardClass = type[Guard[Any, Any]]


def split_names(code: str | None) -> list[str]:
    """Split the code of an action or guard in a chart into names."""
    return (code or "").replace(",", " ").split()


class Chart:
    """Bind a state chart to the classes of its actions and guards."""

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
        self.statecharts_by_state: dict[str, Statechart] = {}
        self.check_names()

    def check_names(self) -> None:
        """Raise ChartError if an action or guard of the chart has no class."""
        for name in self.action_names():
            if name not in self.actions:
                raise self.unknown_name_error("action", name)
        for transition in self.statechart.transitions:
            for name in split_names(transition.guard):
                if name != "not" and name not in self.guards:
                    raise self.unknown_name_error("guard", name)

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
        for state_name in self.statechart.states:
            state = self.statechart.state_for(state_name)
            names += split_names(getattr(state, "on_entry", None))
            names += split_names(getattr(state, "on_exit", None))
        return names

    def start(self) -> Lifecycle:
        """Return a new lifecycle in the chart's initial state."""
        return Lifecycle(self, self.statechart)

    def resume(self, state: str) -> Lifecycle:
        """Return a lifecycle in a recorded state.

        The interpreter always starts in the initial state, so each recorded state
        gets a copy of the chart. Raise ChartError if the chart lacks the state.
        """
        if state not in self.statechart.states:
            raise ChartError(
                f"chart {self.name} has no state {state!r}",
                "upgrade this process to the version that wrote the record",
            )
        if state not in self.statecharts_by_state:
            copy = deepcopy(self.statechart)
            copy.state_for(copy.root).initial = state
            self.statecharts_by_state[state] = copy
        return Lifecycle(self, self.statecharts_by_state[state])


class _ChartEvaluator(Evaluator):  # type: ignore[misc]
    """Evaluate named actions and guards for the sismic interpreter."""

    def __init__(
        self,
        interpreter: Interpreter | None = None,
        *,
        initial_context: Mapping[str, Any] | None = None,
    ) -> None:
        self.lifecycle: Lifecycle = (initial_context or {})["lifecycle"]

    @property
    def context(self) -> Mapping[str, Any]:
        return {}

    def execute_statechart(self, statechart: Statechart) -> None:
        """Skip the preamble, because the charts of this project have none."""

    def execute_on_entry(self, state: Any) -> list[Event]:
        self.lifecycle.state = state.name
        return self._execute_code(getattr(state, "on_entry", None))

    def _evaluate_code(
        self, code: str, *, additional_context: Mapping[str, Any] | None = None
    ) -> bool:
        negated = False
        for name in split_names(code):
            if name == "not":
                negated = True
                continue
            if self.lifecycle.evaluate_guard(name) == negated:
                return False
            negated = False
        return True

    def _execute_code(
        self,
        code: str | None,
        *,
        additional_context: Mapping[str, Any] | None = None,
    ) -> list[Event]:
        for name in split_names(code):
            self.lifecycle.perform_action(name)
        return []


class Lifecycle:
    """Track the state of one object in a chart."""

    __slots__ = ("chart", "commands", "interpreter", "state", "transition_context")

    def __init__(self, chart: Chart, statechart: Statechart) -> None:
        self.chart = chart
        self.state = ""
        self.transition_context: tuple[Any, Any, Message, float] | None = None
        self.commands: list[Command] = []
        self.interpreter = Interpreter(
            statechart,
            evaluator_klass=_ChartEvaluator,
            initial_context={"lifecycle": self},
            ignore_contract=True,
        )
        self.interpreter.execute()

    @property
    def final(self) -> bool:
        """Return whether the lifecycle is in a final state."""
        return bool(self.interpreter.final)

    def handle(
        self, message: Message, component: Any, subject: Any, now: float
    ) -> list[Command]:
        """Handle the message as an event and return the commands of its actions.

        Raise UnexpectedEventError if the current state has no transition for it.
        """
        name = event_name(message)
        state = self.state
        self.transition_context = (component, subject, message, now)
        self.commands = []
        step = self.interpreter.queue(Event(name)).execute_once()
        if step is None or not step.transitions:
            raise UnexpectedEventError(
                f"chart {self.chart.name} has no transition for {name} in {state}",
                "add a transition to the chart; one without a target ignores the event",
            )
        self.interpreter.execute()
        self.transition_context = None
        return self.commands

    def evaluate_guard(self, name: str) -> bool:
        """Evaluate one guard by name."""
        if self.transition_context is None:
            raise ChartError(
                f"guard {name!r} of chart {self.chart.name} runs without an event",
                "use guards on transitions only",
            )
        return holds(self.chart.guards[name](*self.transition_context))

    def perform_action(self, name: str) -> None:
        """Perform one action by name."""
        if self.transition_context is None:
            raise ChartError(
                f"action {name!r} of chart {self.chart.name} runs without an event",
                "move it from the initial state to a transition",
            )
        self.commands += perform(self.chart.actions[name](*self.transition_context))


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
