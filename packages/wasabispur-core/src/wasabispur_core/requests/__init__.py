"""Decide how requests reach endpoints, and how each of them ends."""
