"""Run jobs whose tasks need cpu, memory and accelerators.

Entry instances accept jobs, the entry instance that owns the shard schedules them, and
agents start and stop the runs of their tasks on workers.
"""
