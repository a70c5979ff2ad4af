"""Decide at an agent which runs its worker starts and what is reported."""
