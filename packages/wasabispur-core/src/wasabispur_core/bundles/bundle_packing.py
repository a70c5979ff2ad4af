"""Refuse bundles whose guarantees don't fit the workers of a data centre.

The entry instance that handles a bundle change checks the guarantees when the change is
proposed and again when it is accepted, against the workers that attach to this entry.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..jobs.fleet import Fleet
from ..jobs.guarantee import Guarantee, unsatisfiable_guarantees
from .bundle import BundleContent, BundleError


class UnpackableGuaranteeError(BundleError):
    """Report guarantees that the attached workers can't meet at the same time."""


def check_packing(content: BundleContent, fleets: Mapping[str, Fleet]) -> None:
    """Raise UnpackableGuaranteeError if the guarantees of a data centre don't fit.

    The error names the first organisation and shape that don't fit. fleets contains the
    workers of the data centres whose workers attach to this entry; guarantees in other
    data centres are not checked.
    """
    for data_centre, fleet in fleets.items():
        unsatisfied = unsatisfiable_guarantees(
            guarantees_in(content, data_centre), fleet
        )
        if unsatisfied:
            raise _error(unsatisfied[0], len(unsatisfied))


def guarantees_in(content: BundleContent, data_centre: str) -> tuple[Guarantee, ...]:
    """Return all guaranteed shapes in a data centre."""
    return tuple(
        Guarantee(organisation=organisation.name, shape=shape)
        for organisation in content.organisations
        for shape in organisation.guarantees
        if shape.data_centre == data_centre
    )


def _error(guarantee: Guarantee, count: int) -> UnpackableGuaranteeError:
    shape = guarantee.shape
    return UnpackableGuaranteeError(
        f"shape {shape.name!r} of organisation {guarantee.organisation!r} doesn't fit "
        f"the workers in {shape.data_centre} together with the other guarantees there "
        f"({count} guarantees don't fit)",
        "lower a guarantee there, or add workers",
    )
