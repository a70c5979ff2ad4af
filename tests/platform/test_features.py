"""Run the behave features as part of the test suite."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]

TIME_LIMIT = 300.0
"""Seconds after which behave is considered hung."""


def test_features():
    """Guard against a table service fault that changes the outcome of a feature."""
    command = [sys.executable, "-m", "behave", "--no-color", "--format", "progress"]
    run = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=TIME_LIMIT
    )
    assert run.returncode == 0, run.stdout + run.stderr
