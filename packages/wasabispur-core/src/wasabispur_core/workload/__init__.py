"""Decide on jobs of steps and tasks that need cpu, memory and accelerators."""
