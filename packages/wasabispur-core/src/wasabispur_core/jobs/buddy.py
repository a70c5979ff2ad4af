"""Find aligned blocks of adjacent accelerators inside a worker.

The blocks are those of a buddy allocator: the width of a block is its size rounded up
to a power of two, and the block starts at a multiple of its width.
"""

from __future__ import annotations

from collections.abc import Collection

Block = tuple[int, ...]


def block_width(size: int) -> int:
    """Return the smallest power of two that is not below size."""
    return 1 << max(size - 1, 0).bit_length()


def find_block(free: Collection[int], size: int) -> Block | None:
    """Return the best-fitting aligned block of size free accelerators, or None.

    The block inside the smallest free block is chosen, so that larger blocks stay
    whole. Two neighbours merge into one block of twice the width when both are free
    again.
    """
    available = set(free)
    width = block_width(size)
    starts = range(0, max(available, default=-1) + 1, width)
    fitting = [
        start for start in starts if available.issuperset(range(start, start + size))
    ]
    if not fitting:
        return None
    best = min(
        fitting,
        key=lambda start: (_enclosing_free_width(available, start, width), start),
    )
    return tuple(range(best, best + size))


def find_blocks(free: Collection[int], size: int, limit: int) -> list[Block]:
    """Return up to limit disjoint blocks of size free accelerators."""
    available = set(free)
    blocks: list[Block] = []
    while len(blocks) < limit:
        block = find_block(available, size)
        if block is None:
            break
        available.difference_update(block)
        blocks.append(block)
    return blocks


def _enclosing_free_width(available: set[int], start: int, width: int) -> int:
    """Return the width of the largest free block around an aligned block."""
    while True:
        wider = width * 2
        base = start - start % wider
        if not available.issuperset(range(base, base + wider)):
            return width
        start, width = base, wider
