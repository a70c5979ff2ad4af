"""Fit a line to measured values and print the results as a Markdown table."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression

import click


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Represent one measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """Represent a fitted line: value = base + slope * size.

    Unit is the unit of the values; per names what the sizes count.
    """

    quantity: str
    unit: str
    per: str
    base: float
    slope: float
    samples: tuple[Sample, ...]


def fit(quantity: str, unit: str, per: str, samples: Sequence[Sample]) -> Line:
    """Return the least-squares line; raise ValueError for less than three samples."""
    if len(samples) < 3:
        raise ValueError("fitting a line requires at least three samples")
    slope, base = linear_regression(
        [sample.size for sample in samples], [sample.value for sample in samples]
    )
    return Line(
        quantity=quantity,
        unit=unit,
        per=per,
        base=base,
        slope=slope,
        samples=tuple(samples),
    )


def print_lines(lines: Sequence[Line]) -> None:
    """Print a Markdown table with one row for each line."""
    click.echo("| quantity | unit | base | slope | per | samples |")
    click.echo("|---|---|---|---|---|---|")
    for line in lines:
        samples = ", ".join(f"{s.size:g}: {s.value:.4g}" for s in line.samples)
        click.echo(
            f"| {line.quantity} | {line.unit} | {line.base:.4g} | {line.slope:.4g} "
            f"| {line.per} | {samples} |"
        )
