"""Check that the core package performs no input or output."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import wasabispur_core

FORBIDDEN = {"socket", "cherrypy", "cheroot", "grpclib", "urllib3", "http", "asyncio"}
FORBIDDEN |= {"wasabispur", "wasabispur_agent", "wasabispur_runtime", "requests"}
ROOT = Path(wasabispur_core.__file__).parent
SOURCES = sorted(ROOT.rglob("*.py"))


def imported_packages(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.level == 0:
            names.add((node.module or "").split(".")[0])
    return names


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_core_imports_no_input_or_output(path):
    """Guard against an import of sockets, servers or clients into the core."""
    assert not imported_packages(path) & FORBIDDEN
