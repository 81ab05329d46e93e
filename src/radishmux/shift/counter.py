"""Deterministic selection of a fixed share of attempts."""

from __future__ import annotations

import math

PPM = 1_000_000


def to_ppm(share: float) -> int:
    """Returns a fraction in parts per million, rounded down.

    As a float, a share such as 0.29 is slightly below its decimal value. The
    small term compensates for that and never adds a whole part per million.
    """
    return max(0, min(PPM, math.floor(share * PPM + 1e-6)))


class ShareCounter:
    """Decides for each attempt whether it goes to the new version.

    After each decision, moved == floor(share x total). Integer arithmetic
    keeps this exact for any number of decisions. If the shares of several
    counters are at most `cap`, so is the share of their sums.

    Attributes:
        share_ppm: Share in parts per million.
        total: Number of decisions so far; each retry is a decision, too.
        moved: Number of attempts that went to the new version.
    """

    __slots__ = ("share_ppm", "total", "moved")

    def __init__(self, share_ppm: int) -> None:
        if not 0 <= share_ppm <= PPM:
            raise ValueError(f"share {share_ppm} is outside 0..{PPM} ppm")
        self.share_ppm = share_ppm
        self.total = 0
        self.moved = 0

    def decide(self) -> bool:
        """Counts one attempt; returns whether it goes to the new version."""
        self.total += 1
        if (self.moved + 1) * PPM > self.share_ppm * self.total:
            return False
        self.moved += 1
        return True
