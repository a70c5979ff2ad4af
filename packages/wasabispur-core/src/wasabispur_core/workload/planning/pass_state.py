"""Hold the state of one planning pass: free resources, and what it found so far."""

from __future__ import annotations

from copy import copy

from ..jobs.unit import UnitId
from .cold_wait import cold_wait_pays
from .doubt_wait import DoubtWait
from .organisation_share import OrganisationUse
from .pass_shares import PassShares
from .plan import (
    Decision,
    IN_DOUBT,
    ON_TRIAL,
    Place,
    RunningUnit,
    Snapshot,
    Trust,
    Wait,
    WaitingUnit,
    WaitReason,
    WorkerSnapshot,
)
from .planner_memory import Need, PlannerMemory, UnmetNeed
from .rack_wait import RackWait
from .speed_preference import speed_preference, SpeedPreference
from .unit_placement import (
    host_groups,
    host_key,
    HostGroups,
    reserve,
)
from .victim import VictimIndex

STOP_LIMIT = 4.0
"""Seconds for which the resources of a stopping unit count as being released.

A stop takes up to 1.5 s. A worker that never carries it out must not keep a unit
waiting for room that doesn't come free.
"""


class PassState:
    """Represent the state of one pass: free resources, victims, and failed searches."""

    def __init__(self, snapshot: Snapshot, memory: PlannerMemory) -> None:
        self.now = snapshot.now
        self.rack_wait = RackWait(snapshot, memory.rack_checks)
        self.speeds_differ = any(one.run_time_factor != 1.0 for one in snapshot.workers)
        self.settling = snapshot.settling
        self.workers = {
            worker.worker_ref.worker_id: worker for worker in snapshot.workers
        }
        self.some_cordoned = any(worker.cordoned for worker in snapshot.workers)
        self.doubts = any(
            one.trust is not Trust.FULL and one.trust in IN_DOUBT
            for one in snapshot.workers
        )
        self.suspicions = any(one.trust is Trust.NONE for one in snapshot.workers)
        self.doubt_wait = DoubtWait(self.rack_wait, self.doubts, memory.doubt_waits)
        self.copied: set[str] = set()
        self.victims = VictimIndex(snapshot.running, snapshot.now)
        self.shares: PassShares | None = None
        self.exposed: set[str] = set()
        self.known: dict[Need, UnmetNeed] = {}
        self.changed: set[str] = set()
        self.hosts_by_key = memory.hosts_by_key
        if snapshot.changed is None or not memory.unmet:
            self.hosts_by_key.clear()
        else:
            self.known = memory.unmet
            # What a unit keeps in reserve is decided again in each pass.
            self.changed = set(snapshot.changed).union(*memory.reservations.values())
        self.unmet: dict[Need, UnmetNeed] = {}
        self.unmet_before_eviction: dict[Need, UnmetNeed] = {}
        self.last_reservations = memory.reservations
        self.last_protected = memory.protected
        self.share_waits: dict[UnitId, tuple[float, float]] = {}
        self.decided: set[UnitId] = set()
        self.reservations: dict[UnitId, tuple[str, ...]] = {}
        self.trial_begun = False
        self.unfinished = False
        for unit in snapshot.running:
            if unit.stopping and self.now - unit.stopping_since < STOP_LIMIT:
                self._add_releasing(unit)

    def share(self, use: OrganisationUse, groups: list[list[WaitingUnit]]) -> None:
        """Decide by the shares of organisations, of which groups of units wait."""
        first_units = (group[0] for group in groups)
        self.shares = PassShares(use, first_units, self.last_protected)
        self.victims.shares = self.shares
        if any(known.over_share for known in self.known.values()):
            self.exposed = self.shares.newly_exposed(self.victims.running)

    def _waits_for_warm(
        self, unit: WaitingUnit, placement: list[WorkerSnapshot]
    ) -> bool:
        """Return whether a gang waits for warm workers, with nothing stopped for it."""
        if unit.size == 1 or not any(worker.cold for worker in placement):
            return False
        if unit.unit_id in self.last_reservations:
            return False
        groups = self._groups(self._hosts(unit))
        return cold_wait_pays(unit, placement, groups, self.rack_wait, self.workers)

    def all_unmet(self) -> dict[Need, UnmetNeed]:
        """Return the needs that the pass could not place."""
        return self.unmet_before_eviction | self.unmet

    def _speed(self, unit: WaitingUnit) -> SpeedPreference | None:
        """Return which speed the unit prefers, or None if the workers don't differ."""
        return speed_preference(unit, self.now) if self.speeds_differ else None

    def _place(
        self, unit: WaitingUnit, placement: list[WorkerSnapshot]
    ) -> list[Decision]:
        if self.doubt_wait.pays(unit, placement, self.workers):
            return [Wait(unit_id=unit.unit_id, reason=WaitReason.SUSPICION)]
        if self._waits_for_warm(unit, placement):
            return [Wait(unit_id=unit.unit_id, reason=WaitReason.COLD)]
        self._reserve(unit, placement)
        chosen = tuple(worker.worker_ref for worker in placement)
        return [Place(unit_id=unit.unit_id, placement=chosen)]

    def _changed_hosts(self, known: UnmetNeed) -> frozenset[str]:
        """Return the workers on which what the last pass found may not hold."""
        changed = self.changed
        if known.over_share and self.exposed:
            changed = changed | self.exposed
        return (known.hosts.ids & changed) | known.unsearched

    def _hosts(self, unit: WaitingUnit) -> HostGroups:
        """Return the workers that may host the unit, loaded or not."""
        key = host_key(unit)
        if self.doubts:
            # Single tasks may be tried on doubtful workers.
            key = (*key, unit.size == 1)
        if key not in self.hosts_by_key:
            self.hosts_by_key[key] = host_groups(unit, self.workers.values())
        return self.hosts_by_key[key]

    def _groups(
        self, hosts: HostGroups, changed: frozenset[str] | None = None
    ) -> list[list[WorkerSnapshot]]:
        """Return the groups, or those that contain one of the changed workers."""
        return [
            [self.workers[worker_id] for worker_id in group]
            for group in hosts.groups
            if changed is None or not changed.isdisjoint(group)
        ]

    def _reserve(self, unit: WaitingUnit, placement: list[WorkerSnapshot]) -> None:
        workers = [self._writable(worker) for worker in placement]
        reserve(unit, workers)
        if self.shares is not None:
            self.shares.place(unit)
        self.rack_wait.begin(unit, workers)
        if any(
            one.trust is not Trust.FULL and one.trust in ON_TRIAL for one in workers
        ):
            # A worker on trial hosts no second unit, also if the first one is not
            # started after all.
            self.trial_begun = True
            self.known = {}
            self.hosts_by_key.clear()

    def _add_releasing(self, unit: RunningUnit) -> None:
        """Count the resources of a stopping unit as being released."""
        for worker_ref in unit.placement:
            worker = self.workers.get(worker_ref.worker_id)
            if worker is not None:
                self._writable(worker).releasing += unit.demand

    def _writable(self, worker: WorkerSnapshot) -> WorkerSnapshot:
        """Return the pass's own copy of a worker, since snapshots are kept."""
        worker_id = worker.worker_ref.worker_id
        if worker_id not in self.copied:
            self.copied.add(worker_id)
            duplicate = copy(self.workers[worker_id])
            duplicate.tasks_of_step = dict(duplicate.tasks_of_step)
            self.workers[worker_id] = duplicate
        return self.workers[worker_id]
