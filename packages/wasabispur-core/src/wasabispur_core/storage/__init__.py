"""Decide how the table service and the object store are called."""
