"""Define the messages that distribute bundles.

A bundle is a signed version of the settings of classes and organisations.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..message import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class SignedBundle:
    """Describe an accepted bundle and the data that verifies it.

    The signature is Ed25519 over the bytes of signature_payload() in bundle.py.
    """

    version: int
    content: str
    digest: str
    change_id: str
    proposer: str
    signer: str
    signature: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferBundle(Message):
    """Offer an accepted bundle to a process that may lack it."""

    bundle: SignedBundle


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleInForce(Message):
    """Report which bundle version is in force in the sending process."""

    version: int
