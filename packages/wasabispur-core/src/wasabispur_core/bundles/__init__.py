"""Decide how versions of the settings bundle are proposed, accepted and applied."""
