"""Rendezvous hashing: ranks instances for a key without any agreement."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank(instances: Iterable[str], key: str) -> tuple[str, ...]:
    """Returns the instances in the order in which they are chosen for a key.

    When an instance joins or leaves, the order of the others stays the same.
    """
    return tuple(
        sorted(
            instances,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{name}\0{key}".encode()
            ),
            reverse=True,
        )
    )
