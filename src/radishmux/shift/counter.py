"""Deterministic counter that keeps a share for every prefix."""

from __future__ import annotations

import math

PPM = 1_000_000


def to_ppm(share: float) -> int:
    """Returns a fraction in parts per million, rounded down.

    A share such as 0.29 is slightly below its decimal value as a float; the
    small term undoes that without ever passing a whole part per million.
    """
    return max(0, min(PPM, math.floor(share * PPM + 1e-6)))


class ShareCounter:
    """Decides for each attempt whether it moves.

    After each decision, moved <= floor(share x total). Whole numbers make this
    exact after any number of decisions. The sum over counters with shares of
    at most `cap` is at most `cap` of the summed total, since each one is.

    Attributes:
        share_ppm: Share in parts per million.
        total: Decisions so far; retries are decisions too.
        moved: Decisions that moved.
    """

    __slots__ = ("share_ppm", "total", "moved")

    def __init__(self, share_ppm: int) -> None:
        if not 0 <= share_ppm <= PPM:
            raise ValueError(f"share {share_ppm} is outside 0..{PPM} ppm")
        self.share_ppm = share_ppm
        self.total = 0
        self.moved = 0

    def decide(self) -> bool:
        """Counts one attempt and returns whether it moves."""
        self.total += 1
        if (self.moved + 1) * PPM > self.share_ppm * self.total:
            return False
        self.moved += 1
        return True
