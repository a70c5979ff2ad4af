"""Measure an entry process with many streams, and an agent process with many entries.

The other side of the streams runs in the measuring process, behind relays that count
the bytes.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, AsyncExitStack
from dataclasses import dataclass
from functools import partial
from random import Random

from wasabispur.control_server import ControlServer
from wasabispur.control_service import ControlService
from wasabispur.entry_actors import (
    build_context,
    build_membership,
    build_version_state,
)
from wasabispur.entry_settings import EntrySettings
from wasabispur_agent.entry_link import EntryLink
from wasabispur_core.protocol import Announce, Heartbeat, Role
from wasabispur_runtime.timer_service import LoopTimerService

from .measure_fit import fit, Line, Sample
from .measure_process import (
    HOST,
    read_usage,
    running_module,
    share_of_core,
    wait_until_listening,
)
from .port import free_port
from .relay import Relay

SETTLE_DELAY = 2.0
"""Seconds from the last attachment to the first sample."""

ATTACH_TIMEOUT = 60.0
"""Seconds within which all agents have to attach."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentKind:
    """Describe the agents that attach to the measured entry.

    Spread is the time in seconds over which their attachments are distributed.
    """

    role: Role
    near: bool
    spread: float


AGENT_KINDS = {
    "endpoint": AgentKind(role=Role.ENDPOINT, near=True, spread=1.0),
    "near-worker": AgentKind(role=Role.WORKER, near=True, spread=5.0),
    "far-worker": AgentKind(role=Role.WORKER, near=False, spread=30.0),
}


def entry_settings(http_port: int, control_port: int) -> dict[str, object]:
    """Return the settings of the entry under measurement."""
    return {
        "entry_id": "entry-1",
        "region": "Atlanta",
        "data_centre": "a1",
        "http_port": http_port,
        "control_port": control_port,
        "log_level": "ERROR",
    }


def agent_settings(entries: Sequence[str], url: str, slots: int) -> dict[str, object]:
    """Return the settings of the agent under measurement."""
    return {
        "agent_id": "agent-1",
        "role": "endpoint",
        "region": "Atlanta",
        "data_centre": "a1",
        "entries": list(entries),
        "local_url": url,
        "service": "tags",
        "slots": slots,
        "log_level": "ERROR",
    }


async def measure_entry(
    sizes: Sequence[int], seconds: float, kind: AgentKind, random: Random
) -> list[Line]:
    """Return the cost of an idle entry by the number of attached agents."""
    cpu, memory, traffic = [], [], []
    for size in sizes:
        http_port, control_port = free_port(), free_port()
        settings = entry_settings(http_port, control_port)
        with running_module(settings, "wasabispur", "entry") as pid:
            wait_until_listening(control_port)
            async with attached_agents(control_port, size, kind, random) as relay:
                await asyncio.sleep(SETTLE_DELAY)
                bytes_before, before = relay.forwarded_bytes, read_usage(pid)
                await asyncio.sleep(seconds)
                after, bytes_after = read_usage(pid), relay.forwarded_bytes
        elapsed = after.time - before.time
        sent = (bytes_after - bytes_before) / elapsed
        cpu.append(Sample(size=size, value=100 * share_of_core(before, after)))
        memory.append(Sample(size=size, value=after.memory / 2**20))
        traffic.append(Sample(size=size, value=sent / 1024))
    return [
        fit("idle entry: CPU time", "% of a core", "agent", cpu),
        fit("idle entry: memory", "MB", "agent", memory),
        fit("idle entry: TCP payload, both ways", "KB/s", "agent", traffic),
    ]


async def measure_agent(sizes: Sequence[int], seconds: float) -> list[Line]:
    """Return the cost of an idle agent by the number of its entries."""
    cpu, memory, traffic = [], [], []
    for size in sizes:
        async with AsyncExitStack() as stack:
            relays = [
                await stack.enter_async_context(relayed_entry()) for _ in range(size)
            ]
            entries = [f"{HOST}:{relay.port}" for relay in relays]
            settings = agent_settings(entries, "http://127.0.0.1:9", slots=8)
            pid = stack.enter_context(running_module(settings, "wasabispur_agent"))
            await _wait_until(partial(_all_connected, relays))
            await asyncio.sleep(SETTLE_DELAY)
            bytes_before = sum(relay.forwarded_bytes for relay in relays)
            before = read_usage(pid)
            await asyncio.sleep(seconds)
            after = read_usage(pid)
            sent = sum(relay.forwarded_bytes for relay in relays) - bytes_before
        elapsed = after.time - before.time
        cpu.append(Sample(size=size, value=100 * share_of_core(before, after)))
        memory.append(Sample(size=size, value=after.memory / 2**20))
        traffic.append(Sample(size=size, value=sent / elapsed / 1024))
    return [
        fit("idle agent: CPU time", "% of a core", "entry", cpu),
        fit("idle agent: memory", "MB", "entry", memory),
        fit("idle agent: TCP payload, both ways", "KB/s", "entry", traffic),
    ]


@asynccontextmanager
async def attached_agents(
    port: int, count: int, kind: AgentKind, random: Random
) -> AsyncIterator[Relay]:
    """Attach agents to an entry through a relay that counts the bytes; yield it."""
    timers = LoopTimerService(asyncio.get_running_loop())
    relay = Relay(timers, port)
    relay.start()
    await _wait_until(lambda: relay.port > 0)
    opened = [
        _link(relay.port, number, kind, timers, random) for number in range(count)
    ]
    for link in opened:
        link.start()
        # Spreads the heartbeats over the interval, as with agents that start
        # independently.
        await asyncio.sleep(kind.spread / count)
    try:
        await _wait_until(lambda: all(link.stream is not None for link in opened))
        yield relay
    finally:
        await asyncio.gather(*(link.close() for link in opened))
        await relay.close()


@asynccontextmanager
async def relayed_entry() -> AsyncIterator[Relay]:
    """Run an entry's control port in this process behind a relay; yield the relay."""
    timers = LoopTimerService(asyncio.get_running_loop())
    port = free_port()
    settings = EntrySettings.model_validate(entry_settings(port, port))
    membership = build_membership(settings, timers)
    membership.start()
    version = build_version_state(settings)
    context = build_context(settings, membership, 1, version)
    service = ControlService(settings, context)
    server = ControlServer(service, timers, settings.session_limit)
    await server.start(HOST, port)
    relay = Relay(timers, port)
    relay.start()
    await _wait_until(lambda: relay.port > 0)
    try:
        yield relay
    finally:
        await relay.close()
        server.close()
        await server.wait_closed()
        await membership.close()


def _link(
    port: int, number: int, kind: AgentKind, timers: LoopTimerService, random: Random
) -> EntryLink:
    announce = Announce(
        agent_id=f"agent-{number}",
        incarnation=1,
        role=kind.role,
        near=kind.near,
        region="Atlanta",
        data_centre="a1",
        rack="r1",
        service="tags",
        slots=8,
    )
    return EntryLink(
        f"{HOST}:{port}",
        timers,
        announce=lambda: announce,
        heartbeat=lambda sequence: Heartbeat(sequence=sequence, bundle_version=0),
        receiver=lambda message: None,
        random=random,
    )


def _all_connected(relays: Sequence[Relay]) -> bool:
    return all(relay.connections for relay in relays)


async def _wait_until(predicate: Callable[[], bool]) -> None:
    async with asyncio.timeout(ATTACH_TIMEOUT):
        while not predicate():
            await asyncio.sleep(0.01)
