"""Search for message orders that break the guarantees of the request path."""

from __future__ import annotations

import shutil
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
    run_state_machine_as_test,
)

from wasabispur_core.chart import CHART_DIRECTORY
from wasabispur_core.membership.member import FromAgent
from wasabispur_core.protocol import (
    AttemptCompleted,
    AttemptNotRun,
    Reason,
    StartAttempt,
)
from wasabispur_core.requests import permit, request, tombstone
from wasabispur_core.requests.outcome import Outcome
from wasabispur_core.requests.tombstone import TombstoneStore

from .network import Network, Packet, response_to

SEARCH = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)

MUTANT_SEARCH = settings(
    SEARCH, max_examples=600, report_multiple_bugs=False, phases=[Phase.generate]
)

INDEX = st.integers(0, 30)
ENDING = st.sampled_from(["complete", "complete", "refused", "lost", "truncated"])
AGENT = st.sampled_from(["a0", "a1"])


class RequestMachine(RuleBasedStateMachine):
    """Run the real decisions of an entry and two agents on a hostile network."""

    charts: Path | None = None
    checks_length = True

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(charts=self.charts)
        self.network.checks_length = self.checks_length
        self.delayed: list[Packet] = []

    @rule(
        work_class=st.sampled_from(["urgent", "order"]),
        balance=st.sampled_from([0.0, 9.0]),
        key=st.sampled_from(["", "", "", "k"]),
    )
    def submit(self, work_class, balance, key):
        budget = self.network.entry.budget(self.network.entry.classes[work_class])
        budget.balance = balance
        self.network.submit(work_class, deadline=8.0, key=key)

    @rule()
    def settle(self):
        self.network.settle()

    @rule()
    def settle_but_starts(self):
        packets = self.network.packets
        while self.network.table_calls:
            self.network.answer_table()
        while packets:
            packet = packets.pop(0)
            if isinstance(packet.message, StartAttempt):
                self.delayed.append(packet)
            else:
                self.network.deliver(packet)

    @precondition(lambda self: self.network.table_calls)
    @rule(index=INDEX, how=st.sampled_from(["normal", "lost", "dropped", "down"]))
    def answer_table(self, index, how):
        calls = self.network.table_calls
        self.network.answer_table(index % len(calls), how)

    @rule()
    def release_delayed(self):
        self.network.packets[:0] = self.delayed
        self.delayed.clear()

    @precondition(lambda self: self.network.packets)
    @rule(count=st.integers(1, 3))
    def deliver_oldest(self, count):
        for packet in self.network.packets[:count]:
            self.network.packets.remove(packet)
            self.network.deliver(packet)

    @precondition(lambda self: self.network.packets)
    @rule()
    def deliver_newest(self):
        self.network.deliver(self.network.packets.pop())

    @precondition(lambda self: self.network.packets)
    @rule(index=INDEX)
    def deliver(self, index):
        packets = self.network.packets
        self.network.deliver(packets.pop(index % len(packets)))

    @precondition(lambda self: self.network.packets)
    @rule(index=INDEX)
    def duplicate(self, index):
        packets = self.network.packets
        self.delayed.append(packets[index % len(packets)])

    @rule()
    def duplicate_all(self):
        self.delayed += self.network.packets

    @rule()
    def restart_all(self):
        for agent_id in self.network.agents:
            self.network.restart(agent_id)

    @precondition(lambda self: self.network.packets)
    @rule(index=INDEX)
    def drop(self, index):
        packets = self.network.packets
        packets.pop(index % len(packets))

    @rule(agent_id=AGENT, reports_end=st.booleans(), loses=st.booleans())
    def replace_stream(self, agent_id, reports_end, loses):
        if loses:
            self.network.packets.clear()
        if reports_end:
            self.network.detach(agent_id)
        self.network.attach(agent_id)

    @rule(agent_id=AGENT)
    def detach(self, agent_id):
        self.network.detach(agent_id)

    @rule(agent_id=AGENT)
    def restart(self, agent_id):
        self.network.restart(agent_id)

    @rule(agent_id=AGENT)
    def pause(self, agent_id):
        self.network.agents[agent_id].paused = True

    @rule(agent_id=AGENT)
    def resume(self, agent_id):
        self.network.resume(agent_id)

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.5, 9.0]))
    def advance(self, seconds):
        self.network.clock.advance(seconds)

    @rule(agent_id=AGENT, index=INDEX, how=ENDING)
    def finish(self, agent_id, index, how):
        calls = sorted(self.network.agents[agent_id].calls)
        if calls:
            self.network.finish(agent_id, calls[index % len(calls)], how)

    @rule(how=ENDING)
    def finish_calls(self, how):
        self.finish_all(how)

    def finish_all(self, how):
        for agent_id, node in self.network.agents.items():
            for attempt_id in sorted(node.calls):
                self.network.finish(agent_id, attempt_id, how)

    @rule()
    def lose_responses(self):
        self.finish_all("lost")
        self.network.settle()
        self.network.clock.advance(0.2)
        self.network.settle()

    @invariant()
    def non_idempotent_requests_run_at_most_once(self):
        runs = Counter()
        for request_id, work_class in self.network.classes.items():
            if work_class == "order":
                runs[self.network.bodies[request_id]] += self.network.runs[request_id]
        assert all(count <= 1 for count in runs.values()), "second run"

    @invariant()
    def not_run_means_no_run(self):
        for request_id in self.network.classes:
            if self.network.outcome(request_id) is Outcome.NOT_RUN:
                assert self.network.runs[request_id] == 0, "run reported as not run"

    @invariant()
    def responses_are_complete_and_reach_only_their_caller(self):
        for request_id, replies in self.network.replies.items():
            assert len(replies) == 1, "second reply"
            if replies[0].outcome is Outcome.COMPLETED:
                expected = response_to(self.network.bodies[request_id])
                assert replies[0].body == expected, "foreign or partial response"


@pytest.fixture(autouse=True)
def small_limits(monkeypatch):
    """Set limits at which a short search drops tombstones and responses."""
    monkeypatch.setattr(tombstone, "TOMBSTONE_LIMIT", 1)
    monkeypatch.setattr(tombstone, "RESULT_LIMIT", 1)


INVARIANTS = {
    "non_idempotent_requests_run_at_most_once",
    "not_run_means_no_run",
    "responses_are_complete_and_reach_only_their_caller",
    "checks_length",
    "finish_all",
}

FALSE_NOT_RUN = "second run|run reported as not run"


def test_guarantees_hold_under_every_tried_order():
    """Guard against a second run, a false "not run" and a foreign response."""
    run_state_machine_as_test(RequestMachine, settings=SEARCH)


RULES = {name for name in vars(RequestMachine) if not name.startswith("_")}


def expect_violation(
    text: str, charts: Path | None = None, focus: str = "", **flags
) -> None:
    """Require the search, by the rules in focus if any, to find a violation."""
    omitted = RULES - INVARIANTS - set(focus.split()) if focus else set()
    changes = dict.fromkeys(omitted) | {"charts": charts} | flags
    machine = type("ChangedMachine", (RequestMachine,), changes)
    with pytest.raises(AssertionError, match=text):
        run_state_machine_as_test(machine, settings=MUTANT_SEARCH)


CHART_CHANGES = [
    (
        "request",
        """          - event: claim_pending
            action: set_claim_timer
""",
        """          - event: claim_pending
            target: routing
            action: record_claim_version
""",
        "second run",
        "submit settle",
    ),
    (
        "attempt",
        """          - event: resolve_attempt
            target: ended
            action: record_not_run send_not_run
""",
        """          - event: resolve_attempt
            action: send_not_run
""",
        FALSE_NOT_RUN,
        "submit settle settle_but_starts deliver_newest release_delayed replace_stream",
    ),
    (
        "request",
        "action: send_cancel mark_may_have_run report_failure",
        "action: send_cancel report_failure",
        "run reported as not run",
        "submit settle finish_calls advance",
    ),
    (
        "request",
        """            target: choosing
            action: mark_may_have_run record_failure
""",
        """            target: choosing
""",
        FALSE_NOT_RUN,
        "submit settle finish_calls advance",
    ),
    (
        "request",
        """            guard: retry_allowed repeatable
            action: schedule_retry
          - target: settling
            guard: not retry_allowed
            action: report_failure
          - target: settling
            guard: retry_allowed not repeatable
            action: report_failure
""",
        """            guard: retry_allowed
            action: schedule_retry
          - target: settling
            guard: not retry_allowed
            action: report_failure
""",
        "second run",
        "submit settle lose_responses",
    ),
]


@pytest.mark.parametrize(("name", "old", "new", "violation", "focus"), CHART_CHANGES)
def test_search_finds_a_violation_in_a_changed_chart(
    tmp_path, name, old, new, violation, focus
):
    """Guard against a search that passes with faulty charts."""
    charts = tmp_path / "charts"
    shutil.copytree(CHART_DIRECTORY, charts)
    path = charts / f"{name}.yaml"
    text = path.read_text(encoding="utf-8")
    assert old in text
    changed = text.replace(old, new)
    path.write_text(changed, encoding="utf-8")
    expect_violation(violation, charts, focus)


def drop_without_mark(store, attempt_id):
    store.drop_result(attempt_id)
    store.tombstones.pop(attempt_id, None)


def resolve_without_incarnation(store, attempt_id, permit_id):
    kept = store.tombstones.get(attempt_id)
    if kept is not None:
        return kept.result
    return AttemptNotRun(attempt_id=attempt_id, reason=Reason.PERMIT_UNKNOWN)


def attempt_for_any_permit(state, attempt_id, permit_id):
    return state.attempts.get(attempt_id)


MECHANISMS: list[tuple[object, str, Callable, str]] = [
    (
        TombstoneStore,
        "drop",
        drop_without_mark,
        "submit settle finish_calls replace_stream",
    ),
    (
        TombstoneStore,
        "resolve",
        resolve_without_incarnation,
        "submit settle restart finish_calls",
    ),
    (
        permit,
        "_attempt_for_permit",
        attempt_for_any_permit,
        "submit duplicate_all settle restart_all release_delayed",
    ),
]


@pytest.mark.parametrize(("owner", "name", "replacement", "focus"), MECHANISMS)
def test_search_finds_a_violation_without_a_mechanism(
    monkeypatch, owner, name, replacement, focus
):
    """Guard against a search that does not exercise the proofs of "not run"."""
    monkeypatch.setattr(owner, name, replacement)
    expect_violation(FALSE_NOT_RUN, focus=focus)


def test_search_finds_a_truncated_response():
    """Guard against a search that does not check the responses."""
    expect_violation(
        "foreign or partial response", focus="submit settle finish", checks_length=False
    )


def test_search_finds_a_response_that_is_matched_by_order(monkeypatch):
    """Guard against replies that are matched by anything but the attempt id."""
    decide = request.decide

    def decide_by_order(message, state, now):
        if isinstance(message, FromAgent):
            content = message.message
            for waiting in state.requests.values():
                if waiting.agent_id != message.agent_id:
                    continue
                if isinstance(content, AttemptCompleted):
                    content = AttemptCompleted(
                        attempt_id=waiting.attempt_id,
                        status=content.status,
                        headers=content.headers,
                        body=content.body,
                    )
                break
            message = FromAgent(agent_id=message.agent_id, message=content)
        return decide(message, state, now)

    monkeypatch.setattr(request, "decide", decide_by_order)
    expect_violation("foreign or partial response", focus="submit settle finish")
