"""Run the stand-ins' command as a module."""

from __future__ import annotations

from .standin_cli import main

main()
