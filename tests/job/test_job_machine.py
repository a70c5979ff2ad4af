"""Test the invariants of jobs under arbitrary faults."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import initialize, precondition, rule, RuleBasedStateMachine

from wasabispur_core.jobs.guarantee import Adjacency

from .world import guarantee, World

INDEX = st.integers(0, 40)

PROMISES = (
    guarantee("peachtree", 1, 4, Adjacency.WORKER),
    guarantee("prairie", 2, 2, Adjacency.RACK),
)


class JobMachine(RuleBasedStateMachine):
    """Drive owners, agents and the table service through arbitrary faults."""

    @initialize()
    def start(self):
        self.world = World(guarantees=PROMISES)
        self.world.advance(2)

    def pick(self, items, index):
        items = list(items)
        return items[index % len(items)]

    @rule(
        tasks=st.integers(1, 4),
        accelerators=st.integers(0, 4),
        at_most_once=st.booleans(),
        organisation=st.sampled_from(["peachtree", "prairie", "other"]),
    )
    def submit(self, **fields):
        self.world.submit(**fields)

    @precondition(lambda self: self.world.accepted)
    @rule(index=INDEX)
    def cancel(self, index):
        self.world.cancel(self.pick(self.world.accepted, index))

    @rule(seconds=st.sampled_from([0.5, 1, 2, 3, 6, 10, 21, 45]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(index=INDEX, succeeded=st.sampled_from([True, True, True, False]))
    def finish(self, index, succeeded):
        agent = self.pick(self.world.agents.values(), index)
        if agent.running:
            task_id = self.pick(sorted(agent.running), index)
            self.world.finish(agent, task_id, succeeded)

    @rule(entry=INDEX, agent=INDEX)
    def block(self, entry, agent):
        self.world.block(
            self.pick(self.world.entries, entry), self.pick(self.world.agents, agent)
        )

    @precondition(lambda self: self.world.blocked)
    @rule(index=INDEX)
    def unblock(self, index):
        self.world.unblock(*self.pick(sorted(self.world.blocked), index))

    @precondition(lambda self: self.world.held)
    @rule(index=INDEX, keep=st.booleans(), deliver=st.booleans())
    def release_held(self, index, keep, deliver):
        held = self.world.held
        target, message = held[index % len(held)]
        if not keep:
            del held[index % len(held)]
        if deliver:
            self.world.post(target, message)
            self.world.run()

    @precondition(lambda self: self.world.recent)
    @rule(index=INDEX)
    def repeat_message(self, index):
        target, message = self.pick(self.world.recent, index)
        self.world.post(target, message)
        self.world.run()

    @rule(index=INDEX)
    def pause_or_resume(self, index):
        processes = [*self.world.entries.values(), *self.world.agents.values()]
        process = self.pick(processes, index)
        if process.paused:
            self.world.resume(process)
        elif process.alive:
            self.world.pause(process)

    @rule(index=INDEX)
    def kill_or_restart_entry(self, index):
        name = self.pick(self.world.entries, index)
        if self.world.entries[name].alive:
            self.world.kill_entry(name)
        else:
            self.world.restart_entry(name)

    @rule(index=INDEX, machine=st.booleans())
    def kill_or_restart_agent(self, index, machine):
        name = self.pick(self.world.agents, index)
        if self.world.agents[name].alive:
            self.world.kill_agent(name, machine)
        else:
            self.world.restart_agent(name)

    @rule(names=st.sampled_from([set(), {"e0"}, {"e1"}, {"e0", "e1"}]))
    def cut_store(self, names):
        self.world.store_cut = set(names)

    @rule(cordoned=st.booleans(), entries=st.booleans(), agent=INDEX)
    def cordon_or_uncordon(self, cordoned, entries, agent):
        agents = [self.pick(self.world.agents.values(), agent)]
        self.world.cordon(cordoned, self.world.entries.values() if entries else agents)

    @rule()
    def lose_answer(self):
        self.world.lose_answers += 1

    @rule()
    def delay_write(self):
        self.world.delay_writes += 1

    @precondition(lambda self: self.world.late_writes)
    @rule(index=INDEX)
    def apply_late_write(self, index):
        writes = self.world.late_writes
        self.world.apply(writes.pop(index % len(writes)))
        self.world.check()

    @rule(index=INDEX)
    def ignore_stops(self, index):
        agent = self.pick(self.world.agents.values(), index)
        agent.ignores_stops = not agent.ignores_stops

    @rule(index=INDEX)
    def delay_or_execute_calls(self, index):
        agent = self.pick(self.world.agents.values(), index)
        if agent.late_calls:
            self.world.execute_late_calls(agent)
        else:
            agent.delays_calls = not agent.delays_calls

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()


TestJobMachine = JobMachine.TestCase
TestJobMachine.settings = settings(max_examples=60, stateful_step_count=40)
