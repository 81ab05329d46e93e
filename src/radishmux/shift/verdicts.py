"""Verdicts on the versions of services, which outlive their orders; no I/O.

An operator may order the next version while the servers of one that was rolled
back still run, or order the same version again once it has been mended. So a
verdict holds until a later order of the same version.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

# Versions of one service that are remembered.
MAX_VERSIONS = 16


class VersionVerdict(msgspec.Struct, frozen=True, order=True):
    """What the latest order of a version has shown; a later one is larger.

    Attributes:
        revision: Revision of the store at which it was ordered, or its state
            recorded.
        is_rejected: Whether it was rolled back.
    """

    revision: int
    is_rejected: bool


Verdicts = dict[str, VersionVerdict]
"""Verdicts on the versions of one service, by version."""


class VersionVerdicts:
    """Verdicts of all services; of two on one version the later one holds."""

    def __init__(self) -> None:
        self._services: dict[str, Verdicts] = {}
        # Versions that were rolled back, by service.
        self._rejected: dict[str, frozenset[str]] = {}

    def rejected(self, service: str) -> frozenset[str]:
        """Returns the versions of a service that were rolled back."""
        return self._rejected.get(service, frozenset())

    def record(
        self, service: str, version: str, verdict: VersionVerdict
    ) -> bool:
        """Records a verdict unless a later one is known.

        Returns:
            Whether it changed which versions are rejected.
        """
        verdicts = self._services.setdefault(service, {})
        known = verdicts.get(version)
        if known is not None and known >= verdict:
            return False
        verdicts[version] = verdict
        if len(verdicts) > MAX_VERSIONS:
            del verdicts[min(verdicts, key=lambda name: verdicts[name])]
        before = self.rejected(service)
        self._rejected[service] = frozenset(
            name for name, one in verdicts.items() if one.is_rejected
        )
        return self._rejected[service] != before

    def rejections(self) -> Iterable[tuple[str, str, VersionVerdict]]:
        """Yields service, version and verdict of each rejected version."""
        for service, verdicts in self._services.items():
            for version, verdict in verdicts.items():
                if verdict.is_rejected:
                    yield service, version, verdict

    def unrecorded(
        self, recorded: Mapping[str, Verdicts]
    ) -> dict[str, Verdicts]:
        """Returns the documents that have to be written.

        Args:
            recorded: What the store holds, by service.

        Returns:
            By service, what the store should hold in its place.
        """
        return {
            service: document
            for service in self._services
            if (document := self._document(service, recorded.get(service, {})))
        }

    def _document(self, service: str, recorded: Verdicts) -> Verdicts | None:
        verdicts = self._services[service]
        is_complete = all(
            recorded.get(version) == verdict
            for version, verdict in verdicts.items()
            # A version that was never rejected need not be recorded.
            if verdict.is_rejected or version in recorded
        )
        if is_complete:
            return None
        return {
            version: verdict
            for version, verdict in verdicts.items()
            if verdict.is_rejected or version in recorded
        }
