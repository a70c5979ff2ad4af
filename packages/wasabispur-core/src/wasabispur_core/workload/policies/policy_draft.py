"""Define a configuration as its author wrote it.

A policy indexes its entries by name, so that an entry that occurs twice is no longer
visible in it. The draft keeps all entries for the check.
"""

from __future__ import annotations

from dataclasses import dataclass

from .policy import FleetPolicy, Organisation, Queue, Service


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyGrant:
    """Assign the digest of an API key to an organisation."""

    digest: str
    organisation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyDraft:
    """Describe all entries of one version of the configuration, in their order.

    unknown_fields contains the fields that this release ignores although they resemble
    one that it knows, each with that field.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    keys: tuple[KeyGrant, ...] = ()
    services: tuple[Service, ...] = ()
    unknown_fields: tuple[tuple[str, str], ...] = ()

    @property
    def policy(self) -> FleetPolicy:
        """Return the policy that is in force with this draft."""
        return FleetPolicy(
            version=self.version,
            queues={queue.name: queue for queue in self.queues},
            organisations={one.name: one for one in self.organisations},
            keys={key.digest: key.organisation for key in self.keys},
            services={service.name: service for service in self.services},
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyCheckInput:
    """Combine a draft with the fleet's number of accelerators for the check."""

    draft: PolicyDraft
    accelerators: int | None = None
