"""Decide what wasabispur does, without input or output."""
