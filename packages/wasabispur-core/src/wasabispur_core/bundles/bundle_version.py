"""Decide which bundle version is in force in a process, and offer it to others.

The bundle is the versioned and signed set of settings of all entry instances and
agents. Entry instances poll the table service for the pointer to the newest version.
Every process compares its version with the versions that the processes at the other
ends of its streams report, and offers its bundle to those with an older version. A
bundle comes into force only if it is newer and its sign-off is valid.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from random import Random

from ..command import Command, ReadRows, SetTimer, WriteLog
from ..error import StoreError, UnhandledMessageError
from ..log_event import BUNDLE_IN_FORCE, BUNDLE_REFUSED, BUNDLE_ROW_REFUSED
from ..message import Message
from ..protocol import BundleInForce, OfferBundle, SignedBundle
from ..storage.store import Row, RowsRead, RowsUnavailable
from .bundle import BundleContent, BundleError, digest_of, signature_payload
from .bundle_operation import SignatureVerifier
from .bundle_record import POINTER_KEY, RecordReader, version_key

POLL_INTERVAL = 2.0
"""Longest time in seconds between two polls of the pointer."""

POLL_JITTER = 0.2
"""Largest share of the poll interval by which a poll is sent earlier, at random."""

OFFER_RETRY_DELAY = 1.0
"""Seconds before an offer without effect is retried; the delay doubles each time."""

OFFER_RETRY_DELAY_LIMIT = 60.0
"""Longest delay in seconds before an offer is retried."""

POINTER_READ = "bundle-pointer"
VERSION_READ = "bundle-version"


class ProcessKind(Enum):
    """Define the kinds of processes that exchange bundles."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteProcess:
    """Identify the process at the other end of a stream."""

    kind: ProcessKind
    process_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleOffered(Message):
    """Report a bundle that another process offers.

    source is None for a bundle that was accepted here or read from the table service.
    """

    bundle: SignedBundle
    source: RemoteProcess | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionReported(Message):
    """Report the version in force at the other end of a stream."""

    source: RemoteProcess
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteProcessLost(Message):
    """Report that the stream to a process ended."""

    source: RemoteProcess


@dataclass(frozen=True, slots=True, kw_only=True)
class PollDue(Message):
    """Report that the next poll of the pointer is due."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendToRemoteProcess(Command):
    """Send a message on the stream to a process."""

    remote_process: RemoteProcess
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyBundle(Command):
    """Pass the bundle in force to the other actors of the process."""

    version: int
    content: BundleContent


@dataclass(frozen=True, slots=True, kw_only=True)
class NoBundleInForce(Command):
    """Report to the other actors of an entry that no bundle was ever accepted."""


@dataclass(slots=True)
class OfferState:
    """Represent the last reported version of a remote process, and the offers to it.

    Times are in monotonic seconds. offer_after is the time of the first offer, and None
    while the remote process has the version in force here. offered_version is the
    version of the last offer, retries counts its retries, and next_offer_at is the time
    of the next retry.
    """

    version: int
    offer_after: float | None = None
    offered_version: int = 0
    retries: int = 0
    next_offer_at: float = 0.0


@dataclass(slots=True)
class BundleVersionState:
    """Represent the bundle version in force in a process, and the offers of it.

    Entry instances update each other. An agent offers the bundle to an outdated entry
    only after a random delay of up to max_offer_delay seconds, so that not all agents
    send the bundle at once.
    """

    kind: ProcessKind
    records: RecordReader
    verifier: SignatureVerifier
    random: Random
    max_offer_delay: float = 0.0
    bundle: SignedBundle | None = None
    content: BundleContent | None = None
    offers: dict[RemoteProcess, OfferState] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return 0 if self.bundle is None else self.bundle.version


@singledispatch
def decide(message: Message, state: BundleVersionState, now: float) -> list[Command]:
    """Update the version state for a message and return the resulting commands."""
    raise UnhandledMessageError(
        f"the bundle version component does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: BundleOffered, state: BundleVersionState, now: float) -> list[Command]:
    bundle, source = message.bundle, message.source
    # The sender has the version that it offers, which may be older than this one.
    reported = (
        [] if source is None else _handle_report(source, bundle.version, state, now)
    )
    if not is_newer(bundle, state):
        return reported
    reason = refusal(bundle, state)
    if reason:
        fields = {"version": bundle.version, "reason": reason}
        return [WriteLog(number=BUNDLE_REFUSED.number, fields=fields)]
    return _activate_bundle(bundle, source, state, now)


@decide.register
def _(message: VersionReported, state: BundleVersionState, now: float) -> list[Command]:
    return _handle_report(message.source, message.version, state, now)


@decide.register
def _(
    message: RemoteProcessLost, state: BundleVersionState, now: float
) -> list[Command]:
    state.offers.pop(message.source, None)
    return []


@decide.register
def _(message: PollDue, state: BundleVersionState, now: float) -> list[Command]:
    delay = POLL_INTERVAL * (1 - POLL_JITTER * state.random.random())
    return [
        SetTimer(timer_id="poll", delay=delay, message=PollDue()),
        ReadRows(read_id=POINTER_READ, prefix=POINTER_KEY),
    ]


@decide.register
def _(message: RowsRead, state: BundleVersionState, now: float) -> list[Command]:
    commands: list[Command] = []
    for row in message.rows:
        try:
            commands += _apply_row(message.read_id, row, state, now)
        except StoreError as error:
            fields = {"key": row.key, "error": str(error)}
            commands.append(WriteLog(number=BUNDLE_ROW_REFUSED.number, fields=fields))
    pointed = any(row.key == POINTER_KEY for row in message.rows)
    if message.read_id == POINTER_READ and not pointed and state.bundle is None:
        commands.append(NoBundleInForce())
    return commands


@decide.register
def _(message: RowsUnavailable, state: BundleVersionState, now: float) -> list[Command]:
    # The next poll reads the rows again; until then the version in force stays.
    return []


def is_newer(bundle: SignedBundle, state: BundleVersionState) -> bool:
    """Return whether a bundle is newer than the one in force."""
    return bundle.version > state.version


def refusal(bundle: SignedBundle, state: BundleVersionState) -> str:
    """Return why a bundle can't come into force, or an empty string if it can."""
    if not is_newer(bundle, state):
        return f"version {state.version} is in force and not older"
    if bundle.signer == bundle.proposer:
        return f"{bundle.signer} proposed the bundle and signed it off too"
    if digest_of(bundle.content) != bundle.digest:
        return "the digest does not match the content"
    payload = signature_payload(
        change_id=bundle.change_id,
        proposer=bundle.proposer,
        base_version=bundle.version - 1,
        digest=bundle.digest,
    )
    reason = state.verifier.refusal(
        bundle.signer, bundle.version, payload, bundle.signature
    )
    if reason:
        return reason
    try:
        state.records.content(bundle.content)
    except BundleError as error:
        return str(error)
    return ""


def _apply_row(
    read_id: str, row: Row, state: BundleVersionState, now: float
) -> list[Command]:
    if read_id == POINTER_READ and row.key == POINTER_KEY:
        version = state.records.pointer(row.value).version
        if version <= state.version:
            return []
        return [ReadRows(read_id=VERSION_READ, prefix=version_key(version))]
    if read_id == VERSION_READ:
        bundle = state.records.version(row.value).signed_bundle()
        return decide(BundleOffered(bundle=bundle), state, now)
    return []


def _activate_bundle(
    bundle: SignedBundle,
    source: RemoteProcess | None,
    state: BundleVersionState,
    now: float,
) -> list[Command]:
    state.bundle = bundle
    state.content = state.records.content(bundle.content)
    fields = {"version": bundle.version, "signer": bundle.signer}
    commands: list[Command] = [
        WriteLog(number=BUNDLE_IN_FORCE.number, fields=fields),
        ApplyBundle(version=bundle.version, content=state.content),
    ]
    for remote_process, offer in state.offers.items():
        if _offers_at_once(remote_process, source, state):
            commands += _offer_if_behind(remote_process, offer, state, now)
        elif remote_process.kind is ProcessKind.ENTRY:
            report = BundleInForce(version=bundle.version)
            commands.append(
                SendToRemoteProcess(remote_process=remote_process, message=report)
            )
    return commands


def _offers_at_once(
    remote_process: RemoteProcess,
    source: RemoteProcess | None,
    state: BundleVersionState,
) -> bool:
    if remote_process.kind is ProcessKind.AGENT:
        return True
    # An entry that received the bundle from a peer does not offer it to other peers at
    # once, since that peer does; later heartbeats show which peers are still outdated.
    return state.kind is ProcessKind.ENTRY and source is None


def _handle_report(
    source: RemoteProcess, version: int, state: BundleVersionState, now: float
) -> list[Command]:
    offer = state.offers.setdefault(source, OfferState(version))
    offer.version = max(version, 0)
    return _offer_if_behind(source, offer, state, now)


def _offer_if_behind(
    remote_process: RemoteProcess,
    offer: OfferState,
    state: BundleVersionState,
    now: float,
) -> list[Command]:
    if state.bundle is None or offer.version >= state.version:
        offer.offer_after = None
        return []
    if offer.offer_after is None:
        offer.offer_after = now + state.max_offer_delay * state.random.random()
    if now < offer.offer_after:
        return []
    if offer.offered_version == state.version and now < offer.next_offer_at:
        return []
    _record_offer(offer, state.version, now)
    message = OfferBundle(bundle=state.bundle)
    return [SendToRemoteProcess(remote_process=remote_process, message=message)]


def _record_offer(offer: OfferState, version: int, now: float) -> None:
    offer.retries = offer.retries + 1 if offer.offered_version == version else 0
    offer.offered_version = version
    delay = min(OFFER_RETRY_DELAY * 2**offer.retries, OFFER_RETRY_DELAY_LIMIT)
    offer.next_offer_at = now + delay
