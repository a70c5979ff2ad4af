"""Run the command line of the development tools with python -m."""

from __future__ import annotations

from .standin_cli import main

main()
