"""Implement the decisions of wasabispur without input or output."""
