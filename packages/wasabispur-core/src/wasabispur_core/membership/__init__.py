"""Track which processes belong to the system."""
