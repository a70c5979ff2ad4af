"""Test the generated pages and the catalogues from which they are made."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path

import pytest

from wasabispur_core import log_event, metric

ROOT = Path(__file__).parent.parent.parent
SPEC = importlib.util.spec_from_file_location(
    "generate_docs", ROOT / "scripts" / "generate_docs.py"
)
generate_docs = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(generate_docs)

CODE = "\n".join(
    path.read_text(encoding="utf-8")
    for folder in ("packages/*/src/**/*.py", "platform/**/*.py")
    for path in ROOT.glob(folder)
    if path.name not in ("log_event.py", "metric.py")
)


def names_of(module, cls) -> list[str]:
    return [name for name, value in vars(module).items() if isinstance(value, cls)]


@pytest.mark.parametrize("name", generate_docs.PAGES)
def test_generated_page_is_current(name):
    """Guard against a page that differs from the catalogues in the code."""
    page = (ROOT / "docs" / name).read_text(encoding="utf-8")
    assert page == generate_docs.PAGES[name](), "run scripts/generate_docs.py"


@pytest.mark.parametrize("name", names_of(log_event, log_event.LogEvent))
def test_every_log_event_is_used(name):
    """Guard against documented events that no process logs."""
    assert re.search(rf"\b{name}\b", CODE)


@pytest.mark.parametrize("name", names_of(metric, metric.Metric))
def test_every_metric_is_used(name):
    """Guard against documented metrics that no process records."""
    assert re.search(rf"\b{name}\b", CODE)


def test_event_numbers_are_unique():
    """Guard against two events with the same number; the catalogue would lose one."""
    names = names_of(log_event, log_event.LogEvent)
    assert len(log_event.catalogue()) == len(names)


def test_labels_stay_few():
    """Guard against labels with an unbounded number of values, such as ids."""
    allowed = {"class", "organisation", "outcome", "cause", "part", "actor"}
    allowed |= {"data_centre"}
    for one in metric.metric_catalogue().values():
        assert set(one.labels) <= allowed
