"""Parses the query of a lookup."""

from __future__ import annotations

from urllib.parse import parse_qs

from radishmux.config.model import Route, Service

# Callers repeat the same few queries; parsing one costs more than the rest of
# the lookup.
_MAX_KEPT = 10_000
# Longer ones are parsed each time, so that callers cannot fill the memory.
_MAX_KEPT_BYTES = 256

_KEYED = Route(name="lookup", idempotent=True)
_PUBLIC = Route(name="lookup", idempotent=True, open_to_all=True)


class LookupQuery:
    """Arguments of a lookup; None when they are absent."""

    __slots__ = ("address", "region", "service")

    def __init__(self, query: str) -> None:
        arguments = parse_qs(query)
        self.service = arguments.get("service", [""])[0]
        self.region = arguments.get("region", [None])[0]
        self.address = arguments.get("address", [None])[0]


class LookupQueries:
    """Parsed queries, kept."""

    def __init__(self) -> None:
        self._kept: dict[bytes, LookupQuery] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def parse(self, url: bytes) -> LookupQuery:
        """Returns the arguments of a lookup's URL."""
        query = self._kept.get(url)
        if query is not None:
            return query
        query = LookupQuery(url.partition(b"?")[2].decode("ascii", "replace"))
        if len(url) <= _MAX_KEPT_BYTES:
            if len(self._kept) >= _MAX_KEPT:
                self._kept.clear()
            self._kept[url] = query
        return query


def lookup_route(service: Service, key: str | None) -> Route:
    """Returns a route whose key rules hold for lookups of a service.

    A service with a public route can be looked up without a key.
    """
    if key is None and any(route.open_to_all for route in service.routes):
        return _PUBLIC
    return _KEYED
