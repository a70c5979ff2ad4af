"""Run jobs whose tasks need cpu, memory and accelerators.

This is the job plane of the users' platform. The package jobs beside this one schedules
gangs of accelerators for the product's own job calls.

Entry instances accept jobs, the entry instance that owns the shard schedules them, and
agents start and stop the runs of their tasks on workers.
"""
