"""Guard the order of steps of a change, operators' permissions, and the replies."""

from __future__ import annotations

import pytest

from wasabispur_core.bundles.bundle import InvalidBundleError
from wasabispur_core.bundles.bundle_change import decide, OPERATION_LIMIT
from wasabispur_core.bundles.bundle_operation import (
    AcceptBundle,
    BundleConflictError,
    BundleOrderError,
    BundleStoreError,
    ListChanges,
    ListVersions,
    OperationEnded,
    OperationFailed,
    OperationTimeoutError,
    OwnChangeError,
    ProposeBundle,
    RejectBundle,
    ReviewBundle,
    ShowChange,
    SignOffBundle,
    UnknownChangeError,
    UntrustedSignatureError,
)
from wasabispur_core.bundles.bundle_packing import UnpackableGuaranteeError
from wasabispur_core.bundles.bundle_record import ChangeState
from wasabispur_core.jobs.fleet import Fleet, Worker, WorkerAttached, WorkerDetached
from wasabispur_core.storage.store import RowsRead
from wasabispur_runtime.signature import Ed25519Verifier

from .cluster import Cluster
from .operators import content, sign_change, TRUSTED

CHANGE = "000000000-change"


class OperatorSession:
    """Perform operators' steps at one entry instance, one after the other."""

    def __init__(self) -> None:
        self.cluster = Cluster()
        self.node = self.cluster.nodes["entry-a"]
        self.number = 0

    def step(self, kind, operator, change_id=CHANGE, **fields):
        """Perform a step and return its error, or None."""
        self.number += 1
        operation_id = f"operation-{self.number}"
        message = kind(
            operation_id=operation_id,
            change_id=change_id,
            operator=operator,
            **fields,
        )
        self.cluster.take(self.node, message)
        while self.cluster.network:
            self.cluster.deliver(0)
        return self.cluster.outcomes[operation_id]

    def propose(self, change_id=CHANGE, base_version=0, value=None):
        return self.step(
            ProposeBundle,
            "ada",
            change_id,
            base_version=base_version,
            summary="",
            content=value or content(),
        )

    def sign(self, operator="ben", signer="ben", change_id=CHANGE):
        change = self.cluster.change(change_id)
        signature = "00" if change is None else sign_change(change, signer)
        return self.step(SignOffBundle, operator, change_id, signature=signature)

    def take(self, name, change_id=CHANGE):
        """Perform a step by its name and return its error, or None."""
        if name == "propose":
            return self.propose(change_id, self.cluster.current_version())
        if name == "sign-off":
            return self.sign(change_id=change_id)
        kinds = {"review": ReviewBundle, "accept": AcceptBundle, "reject": RejectBundle}
        return self.step(kinds[name], "cleo", change_id)


def session_after(*steps: str) -> OperatorSession:
    new = OperatorSession()
    for name in steps:
        assert new.take(name) is None
    return new


@pytest.mark.parametrize(
    ("steps", "state"),
    [
        (["propose"], ChangeState.PROPOSED),
        (["propose", "review"], ChangeState.REVIEWED),
        (["propose", "review", "sign-off"], ChangeState.SIGNED_OFF),
        (["propose", "review", "sign-off", "accept"], ChangeState.ACCEPTED),
        (["propose", "reject"], ChangeState.REJECTED),
        (["propose", "review", "sign-off", "reject"], ChangeState.REJECTED),
    ],
)
def test_steps_in_order_are_stored(steps, state):
    """Guard against a step that is confirmed but not written."""
    change = session_after(*steps).cluster.change(CHANGE)
    assert change.state is state
    assert [step.step for step in change.steps] == steps


@pytest.mark.parametrize(
    ("steps", "wrong"),
    [
        (["propose"], ["sign-off", "accept"]),
        (["propose", "review"], ["review", "accept"]),
        (["propose", "review", "sign-off"], ["review", "sign-off"]),
        (
            ["propose", "review", "sign-off", "accept"],
            ["review", "sign-off", "accept", "reject"],
        ),
        (["propose", "reject"], ["review", "sign-off", "accept", "reject"]),
    ],
)
def test_steps_out_of_order_are_refused(steps, wrong):
    """Guard against an acceptance without review or sign-off."""
    for name in wrong:
        session = session_after(*steps)
        rows = dict(session.cluster.rows)
        assert isinstance(session.take(name), BundleOrderError)
        assert session.cluster.rows == rows


def test_proposer_can_t_review_or_sign_off():
    """Guard against a bundle that a single operator brings into force."""
    session = session_after("propose")
    assert isinstance(session.step(ReviewBundle, "ada"), OwnChangeError)
    session = session_after("propose", "review")
    assert isinstance(session.sign("ada", "ada"), OwnChangeError)


@pytest.mark.parametrize(
    ("operator", "signer"),
    [("ben", "cleo"), ("ben", "ada"), ("mallory", "mallory"), ("ben", "mallory")],
)
def test_untrusted_signature_is_refused(operator, signer):
    """Guard against a sign-off under another operator's name."""
    session = session_after("propose", "review")
    assert isinstance(session.sign(operator, signer), UntrustedSignatureError)
    assert session.cluster.change(CHANGE).state is ChangeState.REVIEWED


def test_sign_off_by_a_retired_key_can_t_be_accepted():
    """Guard against an accepted bundle that every process refuses."""
    session = session_after("propose", "review", "sign-off")
    without = [key for key in TRUSTED if key.operator != "ben"]
    session.node.change_state.verifier = Ed25519Verifier(without)
    assert isinstance(session.take("accept"), UntrustedSignatureError)
    assert session.cluster.current_version() == 0


def test_change_on_an_older_base_gets_a_conflict():
    """Guard against an acceptance that discards another operator's change."""
    session = session_after("propose", "review", "sign-off")
    for name in ("propose", "review", "sign-off", "accept"):
        assert session.take(name, "000000000-other") is None
    assert isinstance(session.take("accept"), BundleConflictError)
    assert isinstance(session.propose("late", 0), BundleConflictError)
    assert session.cluster.current_version() == 1


def test_inconsistent_content_is_refused_at_the_proposal():
    """Guard against invalid content that is found only after the sign-off."""
    session = OperatorSession()
    error = session.propose(value=content(reclaim_bound=-1.0))
    assert isinstance(error, InvalidBundleError)
    assert session.cluster.change(CHANGE) is None


def with_workers(session: OperatorSession, racks: list[str]) -> OperatorSession:
    """Attach workers of 8 accelerators, one in each of the racks."""
    session.node.change_state.fleets["atl-1"] = Fleet()
    for number, rack in enumerate(racks):
        worker = Worker(
            worker_id=f"worker-{number}",
            region="atlanta",
            data_centre="atl-1",
            rack=rack,
            accelerators=8,
        )
        decide(WorkerAttached(worker=worker, clock=0.0), session.node.change_state, 0.0)
    return session


@pytest.mark.parametrize("racks", [[], ["r1"], ["r1", "r2"]])
def test_guarantee_that_can_t_be_packed_is_refused_by_name(racks):
    """Guard against a guarantee of two blocks in one rack, without such a rack."""
    session = with_workers(OperatorSession(), racks)
    error = session.propose()
    assert isinstance(error, UnpackableGuaranteeError)
    assert "'pair'" in error.message
    assert "'peachtree'" in error.message


def test_guarantees_are_checked_again_at_the_acceptance():
    """Guard against an acceptance after the loss of a worker that a guarantee needs."""
    session = with_workers(OperatorSession(), ["r1", "r1"])
    for name in ("propose", "review", "sign-off"):
        assert session.take(name) is None
    lost = WorkerDetached(worker_id="worker-1")
    decide(lost, session.node.change_state, 0.0)
    assert isinstance(session.take("accept"), UnpackableGuaranteeError)
    assert session.cluster.current_version() == 0
    with_workers(session, ["r1", "r1"])
    assert session.take("accept") is None


def test_step_on_an_unknown_change_is_refused():
    """Guard against a step on a missing change that seems to succeed."""
    assert isinstance(OperatorSession().take("review"), UnknownChangeError)


def test_outage_is_reported_as_without_effect():
    """Guard against an unclear reply when the table service is unavailable."""
    session = session_after("propose")
    session.cluster.store_up = False
    assert isinstance(session.take("review"), BundleStoreError)


def test_silent_store_ends_in_a_timeout_error():
    """Guard against an operation that never ends while the table service is silent."""
    session = session_after("propose", "review", "sign-off")
    message = AcceptBundle(operation_id="slow", change_id=CHANGE, operator="cleo")
    session.cluster.take(session.node, message)
    session.cluster.network.clear()
    session.cluster.timers.advance(60.0)
    assert isinstance(session.cluster.outcomes["slow"], OperationTimeoutError)
    assert not session.node.change_state.operations


def test_operations_in_progress_are_bounded():
    """Guard against memory that grows while the store is silent."""
    session = OperatorSession()
    for number in range(OPERATION_LIMIT + 1):
        message = AcceptBundle(
            operation_id=str(number), change_id=CHANGE, operator="cleo"
        )
        session.cluster.take(session.node, message)
    refused = session.cluster.outcomes[str(OPERATION_LIMIT)]
    assert isinstance(refused, BundleStoreError)


def ask(session: OperatorSession, query):
    """Return the reply to a query."""
    cluster, replies = session.cluster, []
    pending = decide(query, session.node.change_state, 0.0)
    while pending:
        command = pending.pop(0)
        if isinstance(command, (OperationEnded, OperationFailed)):
            replies.append(command)
            continue
        rows = tuple(
            row
            for key, row in sorted(cluster.rows.items())
            if key.startswith(command.prefix)
        )
        read = RowsRead(read_id=command.read_id, rows=rows)
        pending += decide(read, session.node.change_state, 0.0)
    (reply,) = replies
    return reply


def test_queries_return_the_newest_records():
    """Guard against lists that leave out the newest changes or versions."""
    session = OperatorSession()
    for number in range(12):
        change_id = f"{number:09d}-change"
        for name in ("propose", "review", "sign-off", "accept"):
            assert session.take(name, change_id) is None
    versions = ask(session, ListVersions(operation_id="q1")).versions
    assert [version.version for version in versions] == list(range(1, 13))
    near = ask(session, ListVersions(operation_id="q2", near=3)).versions
    assert [version.version for version in near] == list(range(1, 10))
    changes = ask(session, ListChanges(operation_id="q3")).changes
    assert changes[-1].change_id == "000000011-change"
    shown = ask(session, ShowChange(operation_id="q4", change_id=changes[0].change_id))
    assert shown.changes == (changes[0],)
    missing = ask(session, ShowChange(operation_id="q5", change_id="none"))
    assert isinstance(missing.error, UnknownChangeError)
