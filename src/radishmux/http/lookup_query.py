"""Parses the query strings of lookups and caches the result."""

from __future__ import annotations

from urllib.parse import parse_qs

from radishmux.config.model import Route, Service

# Callers repeat a small number of queries, and parsing one costs more than the
# rest of the lookup.
_MAX_CACHED = 10_000
# Longer URLs are not cached, so that callers cannot exhaust the memory.
_MAX_CACHED_URL_BYTES = 256

_KEYED_ROUTE = Route(name="lookup", idempotent=True)
_PUBLIC_ROUTE = Route(name="lookup", idempotent=True, open_to_all=True)


class LookupQuery:
    """Arguments of a lookup.

    Attributes:
        service: Name of the service, or "" if absent.
        region: Name of the caller's region, or None if absent.
        address: IP address of the caller, or None if absent.
    """

    __slots__ = ("address", "region", "service")

    def __init__(self, query: str) -> None:
        arguments = parse_qs(query)
        self.service = arguments.get("service", [""])[0]
        self.region = arguments.get("region", [None])[0]
        self.address = arguments.get("address", [None])[0]


class LookupQueryCache:
    """Parses lookup queries and caches them by URL."""

    def __init__(self) -> None:
        self._cache: dict[bytes, LookupQuery] = {}

    def __len__(self) -> int:
        return len(self._cache)

    def parse(self, url: bytes) -> LookupQuery:
        """Returns the arguments of a lookup's URL."""
        query = self._cache.get(url)
        if query is not None:
            return query
        query = LookupQuery(url.partition(b"?")[2].decode("ascii", "replace"))
        if len(url) <= _MAX_CACHED_URL_BYTES:
            if len(self._cache) >= _MAX_CACHED:
                self._cache.clear()
            self._cache[url] = query
        return query


def lookup_route(service: Service, key: str | None) -> Route:
    """Returns the route whose key rules apply to lookups of a service.

    A service with a public route can be looked up without a key.
    """
    if key is None and any(route.open_to_all for route in service.routes):
        return _PUBLIC_ROUTE
    return _KEYED_ROUTE
