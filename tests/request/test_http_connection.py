"""Test which connections an HTTP server closes when a budget is exhausted."""

from __future__ import annotations

import pytest

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.http_connection import (
    BodyBytesRead,
    HeaderRead,
    http_connection_chart,
    HttpConnection,
    HttpConnections,
    RequestBegun,
    RequestRead,
)
from wasabispur_core.http_limits import HttpLimits

LIMITS = HttpLimits(connections=8, few_connections=2, buffer_bytes=100)


class Table:
    """Hold connections by name and record which are closed."""

    def __init__(self) -> None:
        self.table = HttpConnections(LIMITS, http_connection_chart(ChartCatalogue()))
        self.closed: list[str] = []

    def admit(self, name: str, address: str = "") -> HttpConnection | None:
        """Admit a connection, by default from an address of its own."""
        return self.table.admit(address or name, lambda: self.closed.append(name))


@pytest.fixture
def connections() -> Table:
    """Return an empty table."""
    return Table()


def test_idle_connections_are_closed_before_incomplete_headers(connections):
    """Guard against a full server that closes clients in the middle of a request."""
    for number in range(8):
        connection = connections.admit(f"c{number}")
        if number % 2:
            connections.table.handle(connection, RequestBegun())
    for number in range(6):
        new = connections.admit(f"new{number}")
        connections.table.handle(new, RequestRead())
    assert connections.closed == ["c0", "c2", "c4", "c6", "c7", "c5"]
    assert connections.table.count == 8


def test_connection_with_a_complete_request_is_never_closed(connections):
    """Guard against a request that runs while its caller is told nothing."""
    for number in range(8):
        connection = connections.admit(f"c{number}")
        connections.table.hold(connection, 10)
        connections.table.handle(connection, RequestRead())
    assert connections.admit("new") is None
    other = connections.table.hold(connection, 60)
    assert not other
    assert connections.closed == []


def test_one_address_leaves_room_for_others(connections):
    """Guard against a client that takes all connections from others."""
    for number in range(20):
        connections.admit(f"crowd{number}", "crowd")
    assert connections.table.count == LIMITS.crowded_limit
    connections.admit("check")
    assert connections.closed == [f"crowd{n}" for n in range(13)]
    for number in range(20, 40):
        connections.admit(f"crowd{number}", "crowd")
    assert "check" not in connections.closed


def test_most_stalled_body_makes_room_for_bytes(connections):
    """Guard against bodies that stop short and keep the buffers from other clients."""
    names = ("first", "second", "third")
    stalled = {name: connections.admit(name) for name in names}
    for connection in stalled.values():
        assert connections.table.hold(connection, 30)
        connections.table.handle(connection, HeaderRead())
    connections.table.handle(stalled["first"], BodyBytesRead(framing=0))
    assert connections.table.hold(connections.admit("new"), 40)
    assert connections.closed == ["second"]
    assert connections.table.held == 100


def test_largest_request_makes_room_for_smaller_ones():
    """Guard against an ordinary body that gives way because others send more often."""
    limits = HttpLimits(connections=8, buffer_bytes=300_000)
    table = HttpConnections(limits, http_connection_chart(ChartCatalogue()))
    closed: list[str] = []

    def begin(name: str, size: int) -> HttpConnection:
        connection = table.admit(name, lambda: closed.append(name))
        assert table.hold(connection, size)
        table.handle(connection, HeaderRead())
        return connection

    begin("small", 1_000)
    large = [begin(f"large{n}", 140_000) for n in range(2)]
    for connection in large:
        table.handle(connection, BodyBytesRead(framing=0))
    begin("other", 30_000)
    assert closed == ["large0"]
    refused = table.admit("excessive", lambda: closed.append("excessive"))
    assert not table.hold(refused, 400_000)
    assert "small" not in closed


def test_framing_counts_as_used():
    """Guard against a client whose framing costs much and that holds little."""
    limits = HttpLimits(connections=16, few_connections=16)
    table = HttpConnections(limits, http_connection_chart(ChartCatalogue()))
    closed: list[str] = []
    for name in ("stalled", "framing"):
        connection = table.admit(name, lambda name=name: closed.append(name))
        assert table.hold(connection, 5_000)
        table.handle(connection, HeaderRead())
        framing = 100_000 if name == "framing" else 0
        table.handle(connection, BodyBytesRead(framing=framing))
    assert table.close_one()
    assert closed == ["framing"]
