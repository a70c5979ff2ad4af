"""Test that a job is run while hostile clients are connected to every port."""

from __future__ import annotations

from contextlib import ExitStack

from wasabispur_platform_standin.system import PlatformSystem
from wasabispur_standins.process import ProcessGroup, wait_for

from .hostile_clients import (
    bodies_in_pieces,
    chunked_trickles,
    half_lines,
    HostileClients,
    idle_connections,
    pipelined_requests,
    short_bodies,
    slow_headers,
    slow_readers,
)
from .test_hostile_traffic import check_resources, limit_descriptors, LIMITS

CROWD = (
    idle_connections,
    half_lines,
    slow_headers,
    pipelined_requests,
    slow_readers,
    short_bodies,
    bodies_in_pieces,
    chunked_trickles,
)
"""What hostile clients do at each port at the same time."""

PROCESSES = ("entry-0", "agent-0")
JOB = "00000000000000a1"


def ports(system: PlatformSystem) -> list[int]:
    """Return all ports of the processes of the product."""
    addresses = [
        *system.front_addresses.values(),
        *system.ready_addresses.values(),
        *system.controls.values(),
        *system.metrics.values(),
    ]
    return [int(address.rpartition(":")[2]) for address in addresses]


def test_job_is_run_while_a_crowd_is_at_every_port(tmp_path):
    """Guard against traffic at one port that takes what the others need."""
    with ProcessGroup(tmp_path) as group, ExitStack() as stack:
        system = PlatformSystem(group, entries=1, workers=1, limits=LIMITS)
        for name in PROCESSES:
            limit_descriptors(system.children[name])
        system.wait_ready()
        assert len(ports(system)) == 5
        for port in ports(system):
            clients = HostileClients(port)
            stack.callback(clients.close)
            for behave in CROWD:
                behave(clients)
        wait_for("the acceptance", lambda: system.submit("entry-0", JOB).status == 200)
        wait_for("the end", lambda: system.state("entry-0", JOB) == "completed")
        front = system.front_addresses["entry-0"]
        wait_for(
            "the response without a route",
            lambda: system.call("GET", front, "/no/route").status == 404,
        )
        system.wait_ready()
        for address in system.metrics.values():
            wait_for(
                "the metrics",
                lambda address=address: (
                    system.call("GET", address, "/metrics").status == 200
                ),
            )
        for name in PROCESSES:
            check_resources(system.children[name])
            assert "Traceback" not in system.children[name].output()
