"""Configure hypothesis with fixed seeds and mark the known failures."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests() -> set[str]:
    """Return the test ids in KNOWN-RED.txt, which are the first field of each entry."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split(" | ")[0].strip() for line in lines if " | " in line}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark exactly the known failures as expected to fail, without running them."""
    known = known_red_tests()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(run=False, reason="KNOWN-RED.txt"))
