"""Revisions that stay comparable when the store is restored from a copy.

A restored store hands out revisions again that it has already given to writes
which the copy does not contain. A `revision` in radishmux therefore contains
the era, which rises with each restoration, in its upper bits: it grows with
each write, and a revision of a later era is larger than all of earlier ones.
"""

from __future__ import annotations

# The store's own revisions are below 2**40, and eras below 2**23, so that a
# revision fits into 64 bits.
_ERA_SHIFT = 40
_NUMBER_MASK = (1 << _ERA_SHIFT) - 1
MAX_ERA = (1 << 23) - 1


def in_era(era: int, number: int) -> int:
    """Returns the revision for a store's own revision in an era."""
    return era << _ERA_SHIFT | number


def era_of(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> _ERA_SHIFT


def number_of(revision: int) -> int:
    """Returns the store's own revision."""
    return revision & _NUMBER_MASK
