"""Define the load cases of the request benchmark, a development tool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from wasabispur_core.requests.request_message import DeadlineReached
from wasabispur_core.work_class import default_classes

from .bench_world import RequestRecord, SLOTS, World

ENDPOINTS = 4
DURATION = 20.0
"""Seconds during which requests arrive."""

DRAIN_TIME = 30.0
"""Seconds after the last arrival during which requests end."""

EVENT_TIME = 10.0
"""Time in seconds at which the event of a case happens.

The first half of this time is the warm-up, which is left out of the slot shares.
"""

SAMPLE_INTERVAL = 0.05
"""Seconds of fake time between two samples of the slots in use."""

CANCELLED_SHARE = 0.9
"""Share of the queued requests that cancel_queue ends."""


@dataclass(frozen=True, slots=True)
class Flow:
    """Describe the requests that one caller sends in one class.

    Load is a share of the capacity of all endpoints; deadline is in seconds.
    """

    work_class: str
    caller: str
    load: float
    deadline: float = 30.0


@dataclass(slots=True)
class CaseResult:
    """Represent the result of one case under one policy.

    Attempts counts all calls of endpoints. The shares are the mean share of all
    slots that each class had in use after the warm-up.
    """

    records: list[RequestRecord]
    attempts: int
    slot_share: dict[str, float] = field(default_factory=dict)


Event = Callable[[World], None]


def cancel_queue(world: World) -> None:
    """End most of the queued requests by their deadline."""
    waiting = list(world.state.admission.queue_keys)
    for request_id in waiting[: int(len(waiting) * CANCELLED_SHARE)]:
        world.deliver_to_entry(DeadlineReached(request_id=request_id))


def fail_half_of_endpoints(world: World) -> None:
    """Make half of the endpoints refuse every connection."""
    for agent in list(world.agents.values())[: len(world.agents) // 2]:
        agent.endpoint_down = True


def no_event(world: World) -> None:
    """Change nothing."""


ORDER_FLOWS = [Flow("order", "c2", 0.1), Flow("order", "c3", 0.1)]
SMALL_CALLERS = [Flow("deferrable", f"small{n}", 0.025) for n in range(10)]

CASES: dict[str, tuple[list[Flow], Event]] = {
    "deferrable overload": (
        [Flow("deferrable", "c1", 10.0), Flow("urgent", "c4", 0.3), *ORDER_FLOWS],
        no_event,
    ),
    "urgent overload": (
        [Flow("urgent", "c1", 10.0), Flow("deferrable", "c4", 0.3), *ORDER_FLOWS],
        no_event,
    ),
    "small callers alone": (SMALL_CALLERS, no_event),
    "one large caller": (
        [Flow("deferrable", "large", 0.025 * 50), *SMALL_CALLERS],
        no_event,
    ),
    "90% cancelled": (
        [Flow("deferrable", "c1", 3.0), Flow("urgent", "c4", 0.3)],
        cancel_queue,
    ),
    "half of endpoints fail": (
        [Flow("deferrable", "c1", 0.2), Flow("urgent", "c4", 0.1)],
        fail_half_of_endpoints,
    ),
}


def run_case(name: str, policy: str, seed: int) -> CaseResult:
    """Run one case under one policy and return its records."""
    flows, event = CASES[name]
    world = World(policy, ENDPOINTS, seed)
    random = Random(seed)
    arrivals = sorted(
        (time, number, flow)
        for number, flow in enumerate(flows)
        for time in arrival_times(flow, world.capacity, random)
    )
    shares: dict[str, list[float]] = {}
    event_done = False
    next_sample = SAMPLE_INTERVAL
    for time, _, flow in arrivals:
        while next_sample <= time:
            world.clock.advance(next_sample - world.clock.now())
            sample_slot_shares(world, shares)
            next_sample += SAMPLE_INTERVAL
        if time >= EVENT_TIME and not event_done:
            event_done = True
            event(world)
        world.clock.advance(time - world.clock.now())
        world.submit(flow.work_class, flow.caller, flow.deadline)
    world.clock.advance(DRAIN_TIME)
    means = {
        class_name: sum(values) / len(values) for class_name, values in shares.items()
    }
    return CaseResult(list(world.records.values()), world.attempts, means)


def arrival_times(flow: Flow, capacity: float, random: Random) -> list[float]:
    """Return the times in seconds of a Poisson process until DURATION."""
    times = []
    time = random.expovariate(flow.load * capacity)
    while time < DURATION:
        times.append(time)
        time += random.expovariate(flow.load * capacity)
    return times


def sample_slot_shares(world: World, shares: dict[str, list[float]]) -> None:
    """Record the share of all slots that each class uses, after the warm-up."""
    if world.clock.now() < EVENT_TIME / 2:
        return
    used_slots = dict.fromkeys(default_classes(), 0)
    for request in world.state.requests.values():
        if request.holds_endpoint:
            used_slots[request.work_class.name] += 1
    for class_name, count in used_slots.items():
        shares.setdefault(class_name, []).append(count / (len(world.agents) * SLOTS))
