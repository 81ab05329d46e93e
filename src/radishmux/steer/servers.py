"""Table of the backend servers that have registered themselves; no I/O.

The entries are read from the platform's server list. The reader also reports
when the list is readable again after an outage. Entries whose leases expired
during an outage are registered again shortly after it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

# An entry that expired during an outage of the list is registered again within
# about 2 s of the recovery; the rest covers the time until it is read.
RETURN_GRACE_S = 2.3
# Number of removed servers whose latest entries are kept, and of servers
# without an entry that are known to be leaving.
MAX_REMOVED = 1_000
# Time for which the news that an unknown server is leaving is valid. It is less
# than a server needs to drain and start again under its name.
LEAVING_VALID_S = 3.0


class ServerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server's entry in the server list.

    Attributes:
        name: Unique among the backend servers. A server may keep its name
            over a restart.
        service: Name of the service that the server provides.
        address: `ip:port` where the server accepts HTTP requests.
        failure_domain: Failure domain of the server.
        version: Version of the server software.
        slots: Requests that the server can run concurrently.
        draining: Whether the server is about to leave.
        cold_remaining_s: Time for which the server stays cold, counted from
            the writing of the entry.
        sequence: Increases with each entry written since a start.
        started_ms: Unix time of the start in milliseconds; 0 if unknown.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    version: str = ""
    slots: int = 1
    draining: bool = False
    cold_remaining_s: float = 0.0
    sequence: int = 0
    started_ms: int = 0

    @property
    def software(self) -> str:
        """Service and version. Services may use the same names of versions."""
        return f"{self.service} {self.version}"


class Server:
    """A backend server as known to an instance.

    Attributes:
        entry: The latest entry.
        region: Region of the server's failure domain; empty if unknown.
        cold_until: Monotonic time until which the server is cold.
        first_seen_at: Monotonic time when this start of the server was first
            seen.
        is_leaving: Whether the server has said in a response that it is about
            to leave. Its entry may say so later or never.
        remove_at: Monotonic time from which on the server is removed because
            its entry is missing; None while the entry exists.
    """

    __slots__ = (
        "cold_until",
        "entry",
        "first_seen_at",
        "is_leaving",
        "region",
        "remove_at",
    )

    def __init__(self, entry: ServerEntry, region: str, now: float) -> None:
        self.entry = entry
        self.region = region
        self.cold_until = now + entry.cold_remaining_s
        self.first_seen_at = now
        self.is_leaving = False
        self.remove_at: float | None = None

    @property
    def name(self) -> str:
        """Unique name of the server."""
        return self.entry.name

    def is_cold(self, now: float) -> bool:
        """Returns whether the server handles only a small rate of requests."""
        return now < self.cold_until


class ServerTable:
    """All known backend servers, by name and by service.

    Args:
        regions: Region of each failure domain.
    """

    def __init__(self, regions: dict[str, str]) -> None:
        self._regions = regions
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._return_grace_until = 0.0
        # Latest entries of removed servers, the oldest removal first.
        self._removed: OrderedDict[str, ServerEntry] = OrderedDict()
        # When unknown servers were said to be leaving, the oldest time first.
        self._leaving_unknown: OrderedDict[str, float] = OrderedDict()

    def get(self, name: str) -> Server | None:
        """Returns a backend server, including draining ones, or None."""
        return self._servers.get(name)

    def all(self) -> Iterable[Server]:
        """Returns all backend servers, including draining ones."""
        return self._servers.values()

    def of_service(self, service: str) -> tuple[Server, ...]:
        """Returns the servers of a service that are not about to leave."""
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                server
                for _, server in sorted(self._servers.items())
                if server.entry.service == service
                and not server.entry.draining
                and not server.is_leaving
            )
            self._by_service[service] = found
        return found

    def set_regions(self, regions: dict[str, str]) -> None:
        """Replaces the regions of the failure domains.

        Servers keep their region until their entry changes.
        """
        self._regions = regions

    def put(self, entry: ServerEntry, now: float) -> bool:
        """Adds or updates the server of an entry.

        Returns:
            False if the entry was dropped because it is older than the known
            entry of the server, or no newer than the last one of a server that
            was removed: a list restored from a copy may contain it again.
        """
        server = self._servers.get(entry.name)
        if server is None:
            removed = self._removed.get(entry.name)
            if removed is not None and not _is_newer(entry, removed):
                return False
            self._removed.pop(entry.name, None)
            region = self._regions.get(entry.failure_domain, "")
            server = self._servers[entry.name] = Server(entry, region, now)
            said_at = self._leaving_unknown.pop(entry.name, -math.inf)
            server.is_leaving = now - said_at < LEAVING_VALID_S
            self._by_service.clear()
            return True
        if _is_older(entry, server.entry):
            return False
        server.remove_at = None
        if entry.started_ms != server.entry.started_ms:
            region = self._regions.get(entry.failure_domain, "")
            self._servers[entry.name] = Server(entry, region, now)
            self._by_service.clear()
            return True
        changed = _routing_fields(entry) != _routing_fields(server.entry)
        # Reading the same entry again does not end or extend a cold period.
        if entry.sequence != server.entry.sequence or not entry.started_ms:
            server.cold_until = now + entry.cold_remaining_s
        server.entry = entry
        if changed:
            server.region = self._regions.get(entry.failure_domain, "")
            self._by_service.clear()
        return True

    def mark_leaving(self, server: Server) -> bool:
        """Records that a server has said that it is about to leave.

        The mark ends with the server: its next start is another `Server`.

        Returns:
            Whether it had not said so before.
        """
        if server.is_leaving:
            return False
        server.is_leaving = True
        self._by_service.clear()
        return True

    def record_unknown_leaving(self, name: str, now: float) -> None:
        """Records that a server without an entry here is about to leave.

        A peer may have passed a request to it before this instance reads its
        entry.
        """
        self._leaving_unknown[name] = now
        self._leaving_unknown.move_to_end(name)
        while len(self._leaving_unknown) > MAX_REMOVED:
            self._leaving_unknown.popitem(last=False)

    def remove(self, name: str, now: float) -> None:
        """Removes a server whose entry was deleted.

        Shortly after an outage of the list the entry may still be registered
        again, so the server stays in use until the end of the grace period.
        Draining servers are removed immediately.
        """
        server = self._servers.get(name)
        if server is None:
            return
        if now < self._return_grace_until and not server.entry.draining:
            if server.remove_at is None:
                server.remove_at = self._return_grace_until
            return
        self._drop(name)

    def _drop(self, name: str) -> None:
        self._removed[name] = self._servers.pop(name).entry
        self._removed.move_to_end(name)
        while len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        self._by_service.clear()

    def replace(self, entries: Iterable[ServerEntry], now: float) -> None:
        """Replaces all entries; servers without an entry are removed."""
        names = set()
        for entry in entries:
            names.add(entry.name)
            self.put(entry, now)
        for name in self._servers.keys() - names:
            self.remove(name, now)

    def on_list_recovered(self, now: float, is_own: bool = True) -> None:
        """Starts the grace period after an outage of the list.

        Args:
            now: Monotonic time at which the list became readable again.
            is_own: Whether this instance itself could not read the list. Only
                then does the grace period start again for entries that are
                already missing. If a hub could not read the list, the hub alone
                may have been cut off, and missing entries get no more time.
        """
        self._return_grace_until = max(
            self._return_grace_until, now + RETURN_GRACE_S
        )
        if is_own:
            for server in self._servers.values():
                if server.remove_at is not None:
                    server.remove_at = self._return_grace_until

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes servers whose entry is still missing after the grace period.

        Must not be called while the list cannot be read.

        Returns:
            The names of the removed servers.
        """
        gone = tuple(
            name
            for name, server in self._servers.items()
            if server.remove_at is not None and now >= server.remove_at
        )
        for name in gone:
            self._drop(name)
        return gone


def _routing_fields(entry: ServerEntry) -> tuple[object, ...]:
    """Returns the fields that decide which requests a server gets."""
    return (
        entry.service,
        entry.address,
        entry.failure_domain,
        entry.version,
        entry.slots,
        entry.draining,
    )


def _is_older(entry: ServerEntry, current: ServerEntry) -> bool:
    """Returns whether an entry was written before the current one.

    Sequence numbers restart with each start of a server.
    """
    return _has_order(entry, current) and _age_key(entry) < _age_key(current)


def _is_newer(entry: ServerEntry, removed: ServerEntry) -> bool:
    """Returns whether an entry may have been written after a removed one."""
    return not _has_order(entry, removed) or (
        _age_key(entry) > _age_key(removed)
    )


def _has_order(entry: ServerEntry, other: ServerEntry) -> bool:
    """Returns whether the two entries tell which one was written first."""
    return bool(entry.started_ms and other.started_ms)


def _age_key(entry: ServerEntry) -> tuple[int, int]:
    return entry.started_ms, entry.sequence
