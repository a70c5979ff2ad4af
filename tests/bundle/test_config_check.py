"""Guard the check of a bundle before it is proposed."""

from __future__ import annotations

import json
from dataclasses import replace

from click.testing import CliRunner

from wasabispur.cli import main
from wasabispur_core.bundles.bundle import BundleContent, canonical_json, Objective
from wasabispur_core.bundles.bundle_check import ENTRY_KINDS
from wasabispur_core.bundles.config_check import check_against, Severity
from wasabispur_runtime.process import ExitCode

from .operators import content


def test_bundle_with_an_error_is_refused(tmp_path):
    """Guard against a proposal that fails only at the entry."""
    path = tmp_path / "bundle.json"
    path.write_text(canonical_json(replace(content(), reclaim_bound=0.0)))
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == ExitCode.REFUSED
    assert "reclaim_bound" in result.stdout


def test_bundle_that_is_not_valid_names_the_field():
    """Guard against a traceback for input of another type."""
    result = CliRunner().invoke(main, ["check-config", "-"], input='{"classes": 1}')
    assert result.exit_code == ExitCode.REFUSED
    assert "error: the content is not valid at" in result.stderr


def test_objective_after_the_deadline_is_reported():
    """Guard against an objective that its class's deadline makes meaningless."""
    bundle = content()
    rule = bundle.classes[0]
    late = Objective(
        name="late", work_class=rule.name, target=0.9, threshold=rule.deadline + 1
    )
    found = check_against(replace(bundle, objectives=(late,)), None).findings
    assert [(one.subject, one.severity) for one in found if one.field == "threshold"]
    assert not any(one.severity is Severity.ERROR for one in found)


def test_each_kind_of_entry_is_compared():
    """Guard against a changed entry that the comparison leaves out."""
    former = content()
    empty = BundleContent(reclaim_bound=former.reclaim_bound + 1)
    report = check_against(former, empty)
    kinds = {one.subject.partition(" ")[0] for one in report.differences}
    expected = {kind.name for kind in ENTRY_KINDS if getattr(former, kind.entries)}
    assert kinds == expected | {"bundle"}


def test_report_on_standard_input_is_json():
    """Guard against a report that other programs can't read."""
    text = canonical_json(content())
    result = CliRunner().invoke(
        main, ["check-config", "-", "--output", "json"], input=text
    )
    assert set(json.loads(result.stdout)) == {"differences", "findings"}
