"""Test an agent's answers about attempts that are not in progress."""

from __future__ import annotations

import pytest

from wasabispur_core.protocol import (
    AttemptNotRun,
    AttemptRunning,
    AttemptUnknown,
    Reason,
)
from wasabispur_core.requests import permit, tombstone
from wasabispur_core.requests.permit import CallEndpoint, PERMIT_LIFETIME

from .agent_probe import AgentProbe, completed


def test_restarted_agent_proves_nothing_about_an_earlier_permit():
    """Guard against "not run" for an attempt that the former process may have run."""
    permit_id = AgentProbe(incarnation=1).run("r.1")
    answer = AgentProbe(incarnation=2).resolve("r.1", permit_id)
    assert isinstance(answer, AttemptUnknown)
    assert answer.reason is Reason.AGENT_RESTARTED


def test_late_start_at_a_restarted_agent_is_unknown_and_does_not_run():
    """Guard against a duplicate start whose first copy ran before the restart."""
    permit_id = AgentProbe(incarnation=1).run("r.1")
    agent = AgentProbe(incarnation=2)
    (answer,) = agent.start("r.1", permit_id)
    assert isinstance(answer, AttemptUnknown)
    assert not agent.state.attempts


def test_dropped_tombstone_of_a_run_proves_nothing(monkeypatch):
    """Guard against "not run" after the record of a run was dropped at the limit."""
    monkeypatch.setattr(tombstone, "TOMBSTONE_LIMIT", 2)
    agent = AgentProbe()
    first = agent.run("r1.1")
    for number in range(2, 5):
        agent.run(f"r{number}.1")
    answer = agent.resolve("r1.1", first)
    assert isinstance(answer, AttemptUnknown)
    assert answer.reason is Reason.ATTEMPT_FORGOTTEN


def test_unused_permit_stays_proof_while_no_later_run_is_forgotten(monkeypatch):
    """Guard against losing every proof as soon as one tombstone is dropped."""
    monkeypatch.setattr(tombstone, "TOMBSTONE_LIMIT", 2)
    agent = AgentProbe()
    for number in range(1, 5):
        agent.run(f"r{number}.1")
    unused = agent.grant("r9.1")
    agent.now = PERMIT_LIFETIME
    agent.decide(permit.PermitExpired(attempt_id="r9.1", permit_id=unused))
    agent.run("r10.1")
    agent.run("r11.1")
    assert isinstance(agent.resolve("r9.1", unused), AttemptNotRun)


def test_start_under_a_former_permit_of_the_same_attempt_does_not_run():
    """Guard against a run after the agent reported "not run" for that permit."""
    agent = AgentProbe()
    former = agent.grant("r.1")
    assert isinstance(agent.resolve("r.1", former), AttemptNotRun)
    agent.state.tombstones.drop("r.1")
    agent.grant("r.1")
    commands = agent.start("r.1", former)
    assert not any(isinstance(command, CallEndpoint) for command in commands)
    assert agent.state.attempts["r.1"].lifecycle.state == "permitted"


def test_result_that_ended_without_a_stream_is_delivered_on_resolve():
    """Guard against losing a response because the stream was down."""
    agent = AgentProbe()
    permit_id = agent.run("r.1", b"response")
    assert agent.resolve("r.1", permit_id) == completed("r.1", b"response")


def test_kept_results_are_bounded_in_bytes(monkeypatch):
    """Guard against memory growth by kept responses, and against a false answer."""
    monkeypatch.setattr(tombstone, "RESULT_LIMIT_BYTES", 10_000)
    agent = AgentProbe()
    permits = [agent.run(f"r{number}.1", b"x" * 4000) for number in range(1, 5)]
    assert agent.state.tombstones.result_bytes <= 10_000
    assert isinstance(agent.resolve("r1.1", permits[0]), AttemptUnknown)
    assert agent.resolve("r4.1", permits[3]) == completed("r4.1", b"x" * 4000)


def test_kept_results_are_bounded_in_count(monkeypatch):
    """Guard against memory growth by many small responses."""
    monkeypatch.setattr(tombstone, "RESULT_LIMIT", 2)
    agent = AgentProbe()
    permits = [agent.run(f"r{number}.1") for number in range(1, 4)]
    assert isinstance(agent.resolve("r1.1", permits[0]), AttemptUnknown)
    assert agent.resolve("r2.1", permits[1]) == completed("r2.1")


def test_running_attempt_answers_resolve_and_delivers_later():
    """Guard against reporting a running attempt as ended when its stream is lost."""
    agent = AgentProbe()
    permit_id = agent.grant("r.1")
    agent.start("r.1", permit_id)
    assert isinstance(agent.resolve("r.1", permit_id), AttemptRunning)


@pytest.mark.parametrize("late_by", [0.0, 5.0])
def test_start_after_the_permit_lifetime_does_not_run(late_by):
    """Guard against a start by an agent that was paused past the lifetime."""
    agent = AgentProbe()
    permit_id = agent.grant("r.1")
    agent.now = PERMIT_LIFETIME + late_by
    (answer,) = agent.start("r.1", permit_id)
    assert isinstance(answer, AttemptNotRun)
    assert isinstance(agent.resolve("r.1", permit_id), AttemptNotRun)
