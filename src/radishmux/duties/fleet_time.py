"""Estimates the true time as the median of the instances' wall clocks."""

from __future__ import annotations

from collections.abc import Iterable

# Age at which the sample of an instance no longer counts: several reports of a
# large region.
SAMPLE_AGE_S = 10.0


class _Sample:
    __slots__ = ("at", "offset_s", "weight")

    def __init__(self, offset_s: float, weight: int, at: float) -> None:
        self.offset_s = offset_s
        self.weight = weight
        self.at = at


class FleetTime:
    """Offsets of other clocks from the own boot clock.

    Offsets are a wall clock minus the own boot clock, in seconds, so that a
    step of the own wall clock changes one sample only.

    Args:
        region: Region of this instance.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        # By instance and its region; by region for those with a summary.
        self._clocks: dict[tuple[str, str], _Sample] = {}
        self._regions: dict[str, _Sample] = {}
        # What the hubs of the own region estimate.
        self._estimates: dict[str, _Sample] = {}

    def record_clock(
        self, instance: str, region: str, offset_s: float, now: float
    ) -> None:
        """Takes the wall clock of an instance.

        Args:
            instance: Name of the instance.
            region: Its region.
            offset_s: Its clock minus the own boot clock.
            now: The own boot clock.
        """
        self._clocks[instance, region] = _Sample(offset_s, 1, now)

    def record_region(
        self, region: str, offset_s: float, clocks: int, now: float
    ) -> None:
        """Takes the median of a region's clocks, from one of its hubs."""
        self._regions[region] = _Sample(offset_s, clocks, now)

    def record_estimate(self, hub: str, offset_s: float, now: float) -> None:
        """Takes the estimate of a hub, which hears more clocks."""
        self._estimates[hub] = _Sample(offset_s, 1, now)

    def region_offset(
        self, own_offset_s: float, now: float
    ) -> tuple[float, int]:
        """Returns the median of the own region, and its number of clocks."""
        samples = [
            sample
            for (_, region), sample in self._clocks.items()
            if region == self._region
        ]
        found = [_Sample(own_offset_s, 1, now), *_fresh(samples, now)]
        return _median(found), len(found)

    def offset(self, own_offset_s: float, now: float) -> float:
        """Returns the true time minus the own boot clock, in seconds.

        Args:
            own_offset_s: The own wall clock minus the own boot clock.
            now: The own boot clock.
        """
        estimates = _fresh(self._estimates.values(), now)
        if estimates:
            return _median(estimates)
        regions = {
            name: sample
            for name, sample in self._regions.items()
            if name != self._region and now - sample.at < SAMPLE_AGE_S
        }
        clocks = [
            sample
            for (_, region), sample in self._clocks.items()
            if region not in regions
        ]
        own = _Sample(own_offset_s, 1, now)
        return _median([own, *_fresh(clocks, now), *regions.values()])

    def prune(self, now: float) -> None:
        """Drops the samples that no longer count."""
        for samples in (self._clocks, self._regions, self._estimates):
            for key in [
                key
                for key, sample in samples.items()
                if now - sample.at >= SAMPLE_AGE_S
            ]:
                del samples[key]  # type: ignore[attr-defined]


def _fresh(samples: Iterable[_Sample], now: float) -> list[_Sample]:
    return [sample for sample in samples if now - sample.at < SAMPLE_AGE_S]


def _median(samples: list[_Sample]) -> float:
    """Returns the weighted median; the mean of the middle two if it is tied."""
    ordered = sorted(samples, key=lambda sample: sample.offset_s)
    half = sum(sample.weight for sample in ordered) / 2
    passed = 0
    for place, sample in enumerate(ordered):
        passed += sample.weight
        if passed > half:
            return sample.offset_s
        if passed == half:
            return (sample.offset_s + ordered[place + 1].offset_s) / 2
    return ordered[-1].offset_s
