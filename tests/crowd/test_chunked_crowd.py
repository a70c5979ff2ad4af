"""Test that a crowd with chunked bodies leaves a process its memory and its callers.

Each test starts a process of its own, because traffic may leave it in a bad state. The
bounds are the process's stated limits; no verdict depends on the machine's speed.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pytest

from wasabispur_standins.process import ProcessGroup

from .chunked_crowd import (
    chunk_extensions,
    Crowd,
    DECODED_CLIENTS,
    every_kind,
    KINDS,
    many_lists,
    many_numbers,
    mixed_chunks,
    SAMPLE_INTERVAL,
)
from .crowd_process import CrowdProcess
from .message_crowd import run_message_crowd

ATTEMPTS = 5
"""Requests of an ordinary caller, of which one has to be answered."""

OTHER_PORTS = (
    ("entry", "ready"),
    ("entry", "metrics"),
    ("agent", "control"),
    ("agent", "metrics"),
    ("service", "http"),
)
"""Ports beside the one that all kinds are tested at."""


def check_crowd(directory, role, port, kind) -> None:
    """Check the process while the crowd sends, stays open, and has gone."""
    with ProcessGroup(directory) as group:
        process = CrowdProcess(group, role)
        with Crowd(process.ports[port], kind) as crowd:
            crowd.run(process.sample)
            process.check_served()
            process.check_resources()
        process.check_served()
        process.check_resources()
        assert "Traceback" not in process.child.output()


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_process_stays_within_its_memory(tmp_path, kind):
    """Guard against bodies that take more memory than the machine has."""
    check_crowd(tmp_path, "entry", "front", kind)


@pytest.mark.parametrize(("role", "port"), OTHER_PORTS)
def test_every_port_stays_within_the_memory(tmp_path, role, port):
    """Guard against a port whose clients may take more than those of the front."""
    check_crowd(tmp_path, role, port, every_kind)


def is_served_in_parts(process, crowd, port) -> bool:
    """Return whether a body in two parts is answered while the crowd sends."""
    with ThreadPoolExecutor(1) as pool:
        for _ in range(ATTEMPTS):
            served = pool.submit(process.answers_parts, port)
            while not served.done():
                crowd.run(process.sample, duration=SAMPLE_INTERVAL)
            if served.result():
                return True
    return False


@pytest.mark.parametrize(
    ("role", "port"), [("entry", "front"), ("agent", "control"), ("service", "http")]
)
def test_body_in_parts_is_read_beside_chunk_extensions(tmp_path, role, port):
    """Guard against one client's framing that closes everyone else's connection."""
    with ProcessGroup(tmp_path) as group:
        process = CrowdProcess(group, role)
        with Crowd(process.ports[port], chunk_extensions, clients=1) as crowd:
            crowd.run(process.sample)
            assert is_served_in_parts(process, crowd, port)
        process.check_resources()


@pytest.mark.parametrize(("role", "port"), [("entry", "front"), ("agent", "control")])
def test_body_in_parts_is_read_beside_the_crowd(tmp_path, role, port):
    """Guard against a crowd whose bodies displace that of an ordinary caller."""
    with ProcessGroup(tmp_path) as group:
        process = CrowdProcess(group, role)
        with Crowd(process.ports[port], mixed_chunks) as crowd:
            crowd.run(process.sample)
            assert is_served_in_parts(process, crowd, port)
            process.check_resources()


@pytest.mark.parametrize(
    ("role", "port", "kind"),
    [("entry", "front", many_numbers), ("agent", "control", many_lists)],
    ids=["entry-front", "agent-control"],
)
def test_decoded_bodies_stay_within_the_memory(tmp_path, role, port, kind):
    """Guard against complete bodies whose values take many times their bytes."""
    with ProcessGroup(tmp_path) as group:
        process = CrowdProcess(group, role)
        with Crowd(process.ports[port], kind, DECODED_CLIENTS) as crowd:
            crowd.run(process.sample)
            process.check_served()
            process.check_resources()


def test_messages_that_stop_short_stay_within_the_memory(tmp_path):
    """Guard against streams at the control port that hold a long message each."""
    with ProcessGroup(tmp_path) as group:
        process = CrowdProcess(group, "service")
        run_message_crowd(process.control_port, process.sample)
        process.check_served()
        process.check_resources()
        assert "Traceback" not in process.child.output()
