"""Generate and load operators' Ed25519 keys, and verify the signatures of bundles."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    load_pem_private_key,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
)
from pydantic import AfterValidator, Field

from wasabispur_core.error import SettingsError

from .settings import Settings

KEY_FILE_MODE = 0o600
"""File mode of a private key; only its owner may read the file."""


class OperatorKey(Settings):
    """Define one trusted public key of an operator, in hexadecimal.

    A key that was replaced gets a last_version. Bundles up to that version stay
    valid, so that a restarted process can still load the one in force, and bundles
    of newer versions are rejected.
    """

    operator: Annotated[str, Field(min_length=1, max_length=64)]
    public_key: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    last_version: Annotated[int, Field(ge=1)] | None = None


def check_operator_keys(keys: list[OperatorKey]) -> list[OperatorKey]:
    """Reject a key that is listed twice, since two operators must not share a key."""
    seen: dict[str, str] = {}
    for key in keys:
        if key.public_key in seen:
            raise ValueError(
                f"operators {seen[key.public_key]} and {key.operator} share a key"
            )
        seen[key.public_key] = key.operator
    return keys


OperatorKeys = Annotated[list[OperatorKey], AfterValidator(check_operator_keys)]


class Ed25519Verifier:
    """Verify signatures against the operators' keys in the settings."""

    def __init__(self, keys: Sequence[OperatorKey]) -> None:
        self.keys = tuple(keys)

    def refusal(
        self, signer: str, version: int, payload: bytes, signature: bytes
    ) -> str:
        """Return why the signature can't be trusted, or an empty text if it can."""
        known = [key for key in self.keys if key.operator == signer]
        if not known:
            return f"{signer or 'nobody'} is not an operator in the settings"
        valid = [key for key in known if _valid(key, payload, signature)]
        if not valid:
            return f"the signature does not match a key of {signer}"
        if all(_retired(key, version) for key in valid):
            return f"the key of {signer} was retired before version {version}"
        return ""


def generate_key(path: Path) -> str:
    """Write a new private key file and return the public key in hexadecimal.

    Raises SettingsError if the file exists or can't be written.
    """
    private_key = Ed25519PrivateKey.generate()
    data = private_key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    try:
        path.touch(mode=KEY_FILE_MODE, exist_ok=False)
        path.write_bytes(data)
    except OSError as error:
        raise SettingsError(
            f"key file {path} can't be written: {error.strerror}",
            "choose a new file in a directory that you can write to",
        ) from error
    return public_key_of(private_key)


def load_key(path: Path) -> Ed25519PrivateKey:
    """Return the private key in a file; raise SettingsError if there is none."""
    try:
        key = load_pem_private_key(path.read_bytes(), password=None)
    except OSError as error:
        raise SettingsError(
            f"key file {path} can't be read: {error.strerror}",
            "use the file that 'wasabispur key generate' wrote",
        ) from error
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        raise _unusable_key(path) from error
    if not isinstance(key, Ed25519PrivateKey):
        raise _unusable_key(path)
    return key


def public_key_of(private_key: Ed25519PrivateKey) -> str:
    """Return the public part of a key in hexadecimal."""
    public_key = private_key.public_key()
    return public_key.public_bytes(Encoding.Raw, PublicFormat.Raw).hex()


def _valid(key: OperatorKey, payload: bytes, signature: bytes) -> bool:
    public_key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(key.public_key))
    try:
        public_key.verify(signature, payload)
    except InvalidSignature:
        return False
    return True


def _retired(key: OperatorKey, version: int) -> bool:
    return key.last_version is not None and version > key.last_version


def _unusable_key(path: Path) -> SettingsError:
    return SettingsError(
        f"key file {path} contains no unencrypted Ed25519 private key",
        "use the file that 'wasabispur key generate' wrote",
    )
