"""Guard the content of bundles, its canonical form and its signatures."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from wasabispur_core.bundles.bundle import (
    canonical_json,
    check_content,
    CONTENT_LIMIT_BYTES,
    digest_of,
    escaped_size,
    InvalidBundleError,
    Objective,
    Organisation,
    signature_payload,
)
from wasabispur_core.bundles.bundle_record import (
    block_prefix,
    change_key,
    ChangeRecord,
    ChangeState,
    ChangeStep,
    row_value,
    version_key,
    version_record,
)
from wasabispur_core.error import SettingsError, StoreError
from wasabispur_core.storage.store import ROW_LIMIT_BYTES, row_size
from wasabispur_runtime.bundle_codec import BundleRecords, parse_content
from wasabispur_runtime.signature import (
    check_operator_keys,
    Ed25519Verifier,
    generate_key,
    load_key,
    OperatorKey,
    public_key_of,
)

from .operators import content, KEYS, TRUSTED

RECORDS = BundleRecords()
PEACHTREE = content().organisations[0]
OBJECTIVE = Objective(name="start", work_class="urgent", target=0.99, threshold=3.4)


def with_class(**changes):
    rule = replace(content().classes[0], **changes)
    return replace(content(), classes=(rule,))


def with_shape(**changes):
    shape = replace(PEACHTREE.guarantees[0], **changes)
    return replace(content(), organisations=(replace(PEACHTREE, guarantees=(shape,)),))


def with_objective(**changes):
    return replace(content(), objectives=(replace(OBJECTIVE, **changes),))


def test_valid_content_survives_its_canonical_form():
    """Guard against content that changes on its way to other processes."""
    value = replace(content(), objectives=(OBJECTIVE,))
    check_content(value)
    assert RECORDS.content(canonical_json(value)) == value


def test_key_order_and_number_form_don_t_change_the_digest():
    """Guard against two digests for the same content."""
    value = json.loads(canonical_json(content()))
    value["reclaim_bound"] = 30
    reordered = dict(reversed(value.items()))
    assert digest_of(canonical_json(parse_content(reordered))) == digest_of(
        canonical_json(content())
    )


@pytest.mark.parametrize(
    ("value", "named"),
    [
        (replace(content(), schema=2), "schema 2"),
        (replace(content(), reclaim_bound=0.0), "reclaim_bound"),
        (replace(content(), organisations=(PEACHTREE, PEACHTREE)), "'peachtree' twice"),
        (replace(content(), organisations=(Organisation(name=""),)), "empty name"),
        (replace(content(), classes=content().classes * 2), "'urgent' twice"),
        (with_shape(blocks=5), "40 guaranteed accelerators"),
        (with_shape(data_centre="sav-1"), "16 guaranteed accelerators"),
        (with_shape(blocks=0), "'pair'"),
        (with_shape(block_size=-1), "'pair'"),
        (replace(content(), classes=()), "no classes"),
        (with_class(weight=0.0), "weight of class 'urgent'"),
        (with_class(floor=1.5), "floor of class 'urgent'"),
        (with_class(deadline=0.0), "deadline of class 'urgent'"),
        (with_class(queue_limit=0), "queue limit of class 'urgent'"),
        (with_class(retry_budget=-0.1), "retry budget of class 'urgent'"),
        (with_class(floor=float("nan")), "floor of class 'urgent'"),
        (
            replace(
                content(),
                classes=tuple(replace(c, floor=0.5) for c in content().classes),
            ),
            "sum of the classes' floors",
        ),
        (with_objective(target=1.0), "target of objective 'start'"),
        (with_objective(threshold=0.0), "threshold of objective 'start'"),
        (with_objective(work_class="none"), "class of objective 'start'"),
        (with_objective(organisation="none"), "organisation of objective 'start'"),
    ],
)
def test_inconsistent_content_is_refused_by_name(value, named):
    """Guard against the acceptance of an inconsistent bundle."""
    with pytest.raises(InvalidBundleError, match=named):
        check_content(value)


def test_content_over_the_limit_is_refused():
    """Guard against a change whose row the table service refuses."""
    many = tuple(
        replace(PEACHTREE, name=f"organisation-{number}") for number in range(500)
    )
    with pytest.raises(InvalidBundleError, match=str(CONTENT_LIMIT_BYTES)):
        check_content(replace(content(), organisations=many))


def test_content_at_the_limit_fits_a_row():
    """Guard against permitted content that exceeds the row limit after escaping."""
    text = '"' * (CONTENT_LIMIT_BYTES // 2 - 1)
    assert escaped_size(text) == CONTENT_LIMIT_BYTES
    note = "\u20ac" * 500
    step = ChangeStep(
        operation_id="0" * 32, step="sign-off", operator="p" * 64, note=note
    )
    change = ChangeRecord(
        change_id="c" * 64,
        state=ChangeState.SIGNED_OFF,
        base_version=1,
        proposer="p" * 64,
        summary=note,
        content=text,
        digest=digest_of(text),
        signer="p" * 64,
        signature="0" * 128,
        steps=(step,) * 4,
    )
    assert row_size(row_value(change)) <= ROW_LIMIT_BYTES
    assert row_size(row_value(version_record(change))) <= ROW_LIMIT_BYTES


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"reclaim_bond": 3}, "reclaim_bond"),
        ({"reclaim_bound": "soon"}, "reclaim_bound"),
        ({"classes": [{"name": "urgent"}]}, "classes.0"),
    ],
)
def test_invalid_fields_are_named_in_the_error(change, named):
    """Guard against a misspelt field that is ignored without an error."""
    value = json.loads(canonical_json(content())) | change
    with pytest.raises(InvalidBundleError, match=named):
        parse_content(value)


def test_text_that_is_not_canonical_is_refused():
    """Guard against fields of a newer release that are dropped without an error."""
    value = json.loads(canonical_json(content())) | {"later": 1}
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    with pytest.raises(InvalidBundleError, match="canonical"):
        RECORDS.content(text)


@pytest.mark.parametrize("change", [{"schema": 2}, {"version": "x"}, {"schema": "1"}])
def test_unusable_row_is_a_typed_error(change):
    """Guard against a crash on a damaged row or a row of a newer release."""
    with pytest.raises(StoreError):
        RECORDS.pointer({"schema": 1, "version": 1, "change_id": "c"} | change)


def test_keys_sort_like_versions():
    """Guard against lists that omit versions when the number of digits changes."""
    assert version_key(9) < version_key(10) < version_key(1_000)
    assert version_key(19).startswith(block_prefix("bundle/version/", 10))
    assert not version_key(20).startswith(block_prefix("bundle/version/", 10))
    assert change_key("c") == "bundle/change/c"


def payload(**changes) -> bytes:
    fields = {"change_id": "c", "proposer": "ada", "base_version": 1, "digest": "d"}
    return signature_payload(**(fields | changes))


@pytest.mark.parametrize(
    "changes",
    [{"change_id": "x"}, {"proposer": "x"}, {"base_version": 2}, {"digest": "x"}],
)
def test_signature_covers_every_field(changes):
    """Guard against a sign-off that can be moved to another change."""
    signature = KEYS["ben"].sign(payload())
    verifier = Ed25519Verifier(TRUSTED)
    assert verifier.refusal("ben", 2, payload(), signature) == ""
    assert verifier.refusal("ben", 2, payload(**changes), signature)


def test_rotated_key_stays_valid_for_older_versions_only():
    """Guard against wrong versions under a rotated key.

    The rotation must not invalidate the bundle in force, nor leave a retired key valid.
    """
    old, new = KEYS["ben"], KEYS["mallory"]
    verifier = Ed25519Verifier(
        [
            OperatorKey(operator="ben", public_key=public_key_of(old), last_version=7),
            OperatorKey(operator="ben", public_key=public_key_of(new)),
        ]
    )
    assert verifier.refusal("ben", 7, payload(), old.sign(payload())) == ""
    assert "retired" in verifier.refusal("ben", 8, payload(), old.sign(payload()))
    assert verifier.refusal("ben", 8, payload(), new.sign(payload())) == ""


def test_two_operators_must_not_share_a_key():
    """Guard against a proposer who signs off under a second name."""
    key = public_key_of(KEYS["ada"])
    pair = [OperatorKey(operator=name, public_key=key) for name in ("ada", "ben")]
    with pytest.raises(ValueError, match="share a key"):
        check_operator_keys(pair)


def test_key_file_is_private_and_never_overwritten(tmp_path):
    """Guard against a key that other users can read, or that is overwritten."""
    path = tmp_path / "ada.pem"
    public_key = generate_key(path)
    assert path.stat().st_mode & 0o077 == 0
    assert public_key_of(load_key(path)) == public_key
    with pytest.raises(SettingsError):
        generate_key(path)


@pytest.mark.parametrize("data", [b"", b"no key", None])
def test_unusable_key_file_is_a_typed_error(tmp_path, data):
    """Guard against a traceback for a wrong key file."""
    path = tmp_path / "key.pem"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(SettingsError):
        load_key(path)
