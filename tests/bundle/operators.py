"""Provide operators' keys, bundle content and signed bundles for tests."""

from __future__ import annotations

from dataclasses import replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from wasabispur_core.bundles.bundle import (
    BundleContent,
    canonical_json,
    digest_of,
    Organisation,
    Quota,
    signature_payload,
)
from wasabispur_core.bundles.bundle_record import ChangeRecord
from wasabispur_core.jobs.guarantee import Adjacency, GuaranteedShape
from wasabispur_core.protocol import SignedBundle
from wasabispur_core.work_class import DEFAULT_CLASSES
from wasabispur_runtime.signature import OperatorKey, public_key_of

KEYS = {
    name: Ed25519PrivateKey.from_private_bytes(bytes([number]) * 32)
    for number, name in enumerate(("ada", "ben", "cleo", "mallory"), 1)
}
TRUSTED = [
    OperatorKey(operator=name, public_key=public_key_of(KEYS[name]))
    for name in ("ada", "ben", "cleo")
]


def content(reclaim_bound: float = 30.0) -> BundleContent:
    """Return valid content with a reclaim bound in seconds."""
    shape = GuaranteedShape(
        name="pair",
        data_centre="atl-1",
        blocks=2,
        block_size=8,
        adjacency=Adjacency.RACK,
    )
    quota = Quota(data_centre="atl-1", accelerators=32)
    organisation = Organisation(name="peachtree", quotas=(quota,), guarantees=(shape,))
    return BundleContent(
        organisations=(organisation,),
        classes=DEFAULT_CLASSES,
        reclaim_bound=reclaim_bound,
    )


def sign_change(change: ChangeRecord, signer: str) -> str:
    """Return an operator's sign-off of a change in hexadecimal."""
    payload = signature_payload(
        change_id=change.change_id,
        proposer=change.proposer,
        base_version=change.base_version,
        digest=change.digest,
    )
    return KEYS[signer].sign(payload).hex()


def signed_bundle(
    version: int, proposer: str = "ada", signer: str = "ben", bound: float = 30.0
) -> SignedBundle:
    """Return a bundle that is signed off by the signer."""
    text = canonical_json(content(bound))
    bundle = SignedBundle(
        version=version,
        content=text,
        digest=digest_of(text),
        change_id=f"change-{version}",
        proposer=proposer,
        signer=signer,
        signature=b"",
    )
    payload = signature_payload(
        change_id=bundle.change_id,
        proposer=proposer,
        base_version=version - 1,
        digest=bundle.digest,
    )
    return replace(bundle, signature=KEYS[signer].sign(payload))
