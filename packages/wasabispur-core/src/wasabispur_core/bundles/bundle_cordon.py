"""Add a cordon of a data centre to a bundle's content, or remove one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from .bundle import BundleContent, BundleError, CordonedDataCentre


class UnknownDataCentreError(BundleError):
    """Report a data centre that neither the bundle nor any process names."""


class AlreadyCordonedError(BundleError):
    """Report a data centre that the newest version cordons already."""


class NotCordonedError(BundleError):
    """Report a data centre that the newest version doesn't cordon."""


def with_cordon(
    content: BundleContent, data_centre: str, known: Iterable[str]
) -> BundleContent:
    """Return the content with a cordon of the data centre in addition.

    known contains the data centres of all known processes; those with quotas in the
    content are known as well, since a lost data centre has no process.
    """
    if content.is_cordoned(data_centre):
        raise AlreadyCordonedError(
            f"the data centre {data_centre} is already cordoned",
            "withdraw the cordon with wasabispur uncordon when it is no longer needed",
        )
    names = {*known, *data_centres_with_quotas(content)}
    if data_centre not in names:
        raise UnknownDataCentreError(
            f"there is no data centre {data_centre!r}",
            f"name one of: {', '.join(sorted(names)) or 'none is known'}; before its "
            "first process starts, propose its cordon with wasabispur bundle propose",
        )
    cordons = (*content.cordons, CordonedDataCentre(name=data_centre))
    return replace(content, cordons=cordons)


def without_cordon(content: BundleContent, data_centre: str) -> BundleContent:
    """Return the content without the cordon of the data centre."""
    if not content.is_cordoned(data_centre):
        cordoned = ", ".join(one.name for one in content.cordons) or "none"
        raise NotCordonedError(
            f"the data centre {data_centre} is not cordoned",
            f"check its name; cordoned data centres: {cordoned}",
        )
    cordons = tuple(one for one in content.cordons if one.name != data_centre)
    return replace(content, cordons=cordons)


def data_centres_with_quotas(content: BundleContent) -> frozenset[str]:
    """Return the data centres in which an organisation has a quota."""
    return frozenset(
        quota.data_centre
        for organisation in content.organisations
        for quota in organisation.quotas
    )
