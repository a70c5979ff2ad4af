"""Validate bundle content and the table service rows that store bundles."""

from __future__ import annotations

from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from wasabispur_core.bundles.bundle import (
    BundleContent,
    canonical_json,
    InvalidBundleError,
)
from wasabispur_core.bundles.bundle_record import (
    ChangeRecord,
    PointerRecord,
    RECORD_SCHEMA,
    VersionRecord,
)
from wasabispur_core.error import StoreError

CONTENT_ADAPTER = TypeAdapter(BundleContent)
CHANGE_ADAPTER = TypeAdapter(ChangeRecord)
VERSION_ADAPTER = TypeAdapter(VersionRecord)
POINTER_ADAPTER = TypeAdapter(PointerRecord)

RecordT = TypeVar("RecordT")


class BundleRecords:
    """Convert the values of bundle rows to the core's records."""

    def change(self, value: dict[str, Any]) -> ChangeRecord:
        """Return the change in a row; raise StoreError if it is not valid."""
        return _decode_record(CHANGE_ADAPTER, value)

    def version(self, value: dict[str, Any]) -> VersionRecord:
        """Return the accepted version in a row; raise StoreError if it is not valid."""
        record = _decode_record(VERSION_ADAPTER, value)
        _check_hexadecimal(record.signature)
        return record

    def pointer(self, value: dict[str, Any]) -> PointerRecord:
        """Return the pointer in its row; raise StoreError if it is not valid."""
        return _decode_record(POINTER_ADAPTER, value)

    def content(self, text: str) -> BundleContent:
        """Return the content of a canonical JSON text.

        Raises InvalidBundleError if the text is not valid or not canonical.
        """
        try:
            content = CONTENT_ADAPTER.validate_json(text)
        except ValidationError as error:
            raise _invalid_content(error) from error
        # Validation silently drops fields that this release doesn't know.
        if canonical_json(content) != text:
            raise InvalidBundleError(
                "the content is not canonical JSON, or has unknown fields",
                "propose it again through an entry of the same release",
            )
        return content


def parse_content(value: Any) -> BundleContent:
    """Return the content that an operator proposed.

    Raises InvalidBundleError if the content is not valid or has unknown fields.
    """
    try:
        content = CONTENT_ADAPTER.validate_python(value)
    except ValidationError as error:
        raise _invalid_content(error) from error
    unknown = find_unknown_field(
        value, CONTENT_ADAPTER.dump_python(content, mode="json")
    )
    if unknown:
        raise InvalidBundleError(
            f"the content has the unknown field {unknown}",
            "correct the field's name, or remove it",
        )
    return content


def find_unknown_field(submitted: Any, parsed: Any, path: str = "") -> str:
    """Return the path of the first submitted field that the parsed content lacks.

    Returns an empty text if there is none.
    """
    if isinstance(submitted, dict) and isinstance(parsed, dict):
        for name, value in submitted.items():
            if name not in parsed:
                return f"{path}{name}"
            found = find_unknown_field(value, parsed[name], f"{path}{name}.")
            if found:
                return found
    if isinstance(submitted, list) and isinstance(parsed, list):
        for index, (value, known) in enumerate(zip(submitted, parsed, strict=True)):
            found = find_unknown_field(value, known, f"{path}{index}.")
            if found:
                return found
    return ""


def _decode_record(adapter: TypeAdapter[RecordT], value: dict[str, Any]) -> RecordT:
    schema = value.get("schema")
    if not isinstance(schema, int) or schema > RECORD_SCHEMA:
        raise StoreError(
            f"a bundle row has schema {schema!r}; this release reads up to schema "
            f"{RECORD_SCHEMA}",
            "upgrade this process to the release that wrote the row",
        )
    try:
        return adapter.validate_python(value)
    except ValidationError as error:
        problem = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in problem["loc"])
        raise StoreError(
            f"a bundle row is not valid at {field}: {problem['msg']}",
            "restore the row in the table service",
        ) from error


def _check_hexadecimal(text: str) -> None:
    try:
        bytes.fromhex(text)
    except ValueError as error:
        raise StoreError(
            "the signature in a bundle row is not hexadecimal",
            "restore the row in the table service",
        ) from error


def _invalid_content(error: ValidationError) -> InvalidBundleError:
    problem = error.errors(include_url=False)[0]
    field = ".".join(str(part) for part in problem["loc"]) or "the whole content"
    return InvalidBundleError(
        f"the content is not valid at {field}: {problem['msg']}",
        "correct the field",
    )
