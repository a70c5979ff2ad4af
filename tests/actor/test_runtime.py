"""Test the timer service, the settings, and an idle event loop."""

from __future__ import annotations

import asyncio
import json

import pytest
from tests.stream.harness import Rig, run

from wasabispur.entry_settings import EntrySettings
from wasabispur_core.error import SettingsError
from wasabispur_core.message import Message
from wasabispur_core.timer import FakeTimerService
from wasabispur_runtime.settings import load_settings
from wasabispur_runtime.timer_service import LoopTimerService, time_limit

ENTRY = {
    "entry_id": "entry-1",
    "region": "Atlanta",
    "data_centre": "a1",
    "http_port": 8080,
    "control_port": 8081,
}


def test_loop_timer_fires_once_in_order_and_can_be_cancelled():
    """Guard against lost, repeated and early timers."""

    async def main() -> None:
        timers = LoopTimerService(asyncio.get_running_loop())
        start = timers.now()
        fired = []
        done = asyncio.Event()
        timers.subscribe(0.02, lambda _: (fired.append("b"), done.set()), Message())
        timers.subscribe(0.01, lambda _: fired.append("a"), Message())
        timers.subscribe(0.015, lambda _: fired.append("c"), Message()).cancel()
        timers.subscribe(-1.0, lambda _: fired.append("now"), Message())
        await done.wait()
        assert fired == ["now", "a", "b"]
        assert timers.now() - start >= 0.02

    run(main())


def test_time_limit_follows_the_timer_service():
    """Guard against time limits that use another clock than the timer service."""

    async def main() -> None:
        timers = FakeTimerService()
        asyncio.get_running_loop().call_later(0.01, timers.advance, 5.0)
        with pytest.raises(TimeoutError):
            async with time_limit(timers, 5.0):
                await asyncio.Event().wait()
        async with time_limit(timers, 5.0):
            await asyncio.sleep(0)
        assert all(subscription.cancelled for _, _, subscription in timers.queue)

    run(main())


@pytest.mark.parametrize(
    ("content", "problem"),
    [
        ("{", "not JSON"),
        ("[]", "no JSON object"),
        (json.dumps(ENTRY | {"surprise": 1}), "surprise"),
        (json.dumps(ENTRY | {"http_port": 0}), "http_port"),
        (json.dumps(ENTRY | {"heartbeat_interval": 0}), "heartbeat_interval"),
        (json.dumps({"entry_id": "e"}), "region"),
        (None, "can't be read"),
    ],
)
def test_invalid_settings_are_rejected_with_the_reason(tmp_path, content, problem):
    """Guard against an invalid file that is accepted or rejected without a reason."""
    path = tmp_path / "entry.json"
    if content is not None:
        path.write_text(content)
    with pytest.raises(SettingsError, match=problem):
        load_settings(EntrySettings, path)


def test_environment_overrides_a_field(tmp_path, monkeypatch):
    """Guard against settings that can't be overridden for a single instance."""
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(ENTRY))
    monkeypatch.setenv("WASABISPUR_HTTP_PORT", "9000")
    assert load_settings(EntrySettings, path).http_port == 9000


def test_idle_process_does_not_wake_the_event_loop():
    """Guard against a task that polls while nothing happens."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            await rig.beat(1)
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            iterations = 0
            run_once = loop._run_once

            def count() -> None:
                nonlocal iterations
                iterations += 1
                run_once()

            loop._run_once = count
            await asyncio.sleep(0.5)
            del loop._run_once
            # One iteration wakes this test. More than a few mean that a task polls.
            assert iterations <= 3

    run(main())
