"""Derive the job policy of one shard from a bundle of settings.

An entry instance passes the policy to the scheduler of the shard.
"""

from __future__ import annotations

from ..bundles.bundle import BundleContent
from ..bundles.bundle_packing import guarantees_in
from .job_placement import PolicyChanged


def policy_for_data_centre(content: BundleContent, data_centre: str) -> PolicyChanged:
    """Return the guarantees, quotas, urgent classes and cordon of a data centre."""
    quotas = {
        organisation.name: quota.accelerators
        for organisation in content.organisations
        for quota in organisation.quotas
        if quota.data_centre == data_centre
    }
    return PolicyChanged(
        guarantees=guarantees_in(content, data_centre),
        quotas=quotas,
        urgent_classes=frozenset(rule.name for rule in content.classes if rule.urgent),
        cordoned=content.is_cordoned(data_centre),
    )
