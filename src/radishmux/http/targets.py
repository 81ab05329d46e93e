"""Splits request targets and finds the route of a path."""

from __future__ import annotations

from urllib.parse import unquote

from radishmux.config.model import Configuration, Route, Service


class Target:
    """A request target, split.

    Attributes:
        service: Name of the service: the first segment.
        rest: Path and query after it, as the caller wrote them.
        path: Decoded path after the service name, for choosing the route.
    """

    __slots__ = ("path", "rest", "service")

    def __init__(self, service: str, rest: str, path: str) -> None:
        self.service = service
        self.rest = rest
        self.path = path


def split_target(raw: str) -> Target | None:
    """Splits `/<service>/<path>?<query>`.

    Returns:
        None when the target is malformed. Dot segments are, since a backend
        server may resolve them to a path of another route.
    """
    if not raw.startswith("/"):
        return None
    service, slash, rest = raw[1:].partition("/")
    if not slash:
        service, mark, query = service.partition("?")
        rest = mark + query
    path, _, _ = rest.partition("?")
    path = f"/{path}"
    if "%" in path or "//" in path or "/." in path or "\\" in path:
        cleaned = _decode(path)
        if cleaned is None:
            return None
        path = cleaned
    return Target(service, f"/{rest}", path)


def _decode(path: str) -> str | None:
    decoded = unquote(path).replace("\\", "/")
    segments = decoded.split("/")
    if "." in segments or ".." in segments or "\0" in decoded:
        return None
    while "//" in decoded:
        decoded = decoded.replace("//", "/")
    return decoded


class RouteTable:
    """Routes of all services, longest prefix first."""

    def __init__(self, configuration: Configuration) -> None:
        self._services: dict[str, Service] = {}
        self._routes: dict[str, list[tuple[str, frozenset[str], Route]]] = {}
        self._by_name: dict[tuple[str, str], Route] = {}
        self.load(configuration)

    def load(self, configuration: Configuration) -> None:
        """Takes over the services of a configuration."""
        self._services = {s.name: s for s in configuration.services}
        self._routes = {
            service.name: [
                (route.path_prefix, frozenset(route.methods), route)
                for route in sorted(
                    service.routes,
                    key=lambda route: len(route.path_prefix),
                    reverse=True,
                )
            ]
            for service in configuration.services
        }
        self._by_name = {
            (service.name, route.name): route
            for service in configuration.services
            for route in service.routes
        }

    def service(self, name: str) -> Service | None:
        """Returns the service, or None when there is none."""
        return self._services.get(name)

    def route(self, service: str, method: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix."""
        for prefix, methods, route in self._routes.get(service, ()):
            if path.startswith(prefix) and (not methods or method in methods):
                return route
        return None

    def named(self, service: str, route: str) -> Route | None:
        """Returns a route by its name."""
        return self._by_name.get((service, route))
