"""Test that a gang that failed runs again while its attempts last."""

from __future__ import annotations

from .world import gang, started_world

ATTEMPTS = 4
"""Attempts of the queue "urgent"."""


def test_failed_gang_uses_the_same_workers_if_the_others_do_not_suffice():
    """Guard against a gang that waits for good beside idle workers.

    Its first run failed on three of four workers, and the fourth can't hold it alone.
    """
    world = started_world(workers=4)
    job = world.submit(gang(3, 8), queue_name="urgent", duration=0.3)
    world.failing_jobs.add(job)
    world.advance(60)
    assert len(world.starts) == 3 * ATTEMPTS
    assert world.ended(job)
