"""Test that no single message within the size limits exhausts a process."""

from __future__ import annotations

import pytest

from wasabispur_platform_standin.system import API_KEY, PREFIX, ROUTE_HOST
from wasabispur_standins.process import ProcessGroup

from .hostile_clients import HostileClients
from .test_hostile_traffic import check_resources, LEGAL_BODY_BYTES, Node

HEARTBEAT_BYTES = 4 * 1024 * 1024
"""Largest heartbeat that an agent accepts."""

HEADER_BYTES = 16_000
ANSWER_BYTES = 65_536

HEARTBEAT_PATH = "/v1/instances/i-0/heartbeat"
JOB_PATH = f"{PREFIX}00000000000000a1"


def filled(start: bytes, item: bytes, end: bytes, size: int) -> bytes:
    """Return as many items as fit into the size."""
    return start + item * ((size - len(start + end)) // len(item)) + end


BODIES = {
    "wrong-steps": ("entry", "front", JOB_PATH, b'{"steps": [', b"0,", b"0]}"),
    "wrong-predecessors": (
        "entry",
        "front",
        JOB_PATH,
        b'{"steps": [{"after": [',
        b'"",',
        b'""]}]}',
    ),
    "wrong-labels": (
        "agent",
        "control",
        HEARTBEAT_PATH,
        b'{"labels": [',
        b"0,",
        b"0]}",
    ),
    "unknown-values": ("agent", "control", HEARTBEAT_PATH, b'{"a": [', b"0,", b"0]}"),
    "unknown-names": ("agent", "control", HEARTBEAT_PATH, b"{", b'"":0,', b'"":0}'),
}
"""Role, port and path, and the start, the repeated part and the end of a JSON body."""


@pytest.mark.parametrize("name", BODIES)
def test_body_of_many_values_takes_little_memory(tmp_path, name):
    """Guard against a body whose values or errors take many times its size."""
    role, port, path, *parts = BODIES[name]
    size = LEGAL_BODY_BYTES if port == "front" else HEARTBEAT_BYTES
    body = filled(*parts, size)
    with ProcessGroup(tmp_path) as group:
        node = Node(group, role)
        clients = HostileClients(node.ports[port])
        try:
            for connection, _ in clients.connect(2):
                head = (
                    f"POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
                    f"Authorization: Bearer {API_KEY}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                connection.settimeout(None)
                clients.send(connection, head.encode() + body)
                assert connection.recv(ANSWER_BYTES).startswith(b"HTTP/1.1 400 ")
            check_resources(node.child)
        finally:
            clients.close()
        node.check_served()
        check_resources(node.child)
        assert "Traceback" not in node.child.output()
