"""Splits request targets and finds their routes."""

from __future__ import annotations

from urllib.parse import unquote

from radishmux.config.model import Configuration, Route, Service


class Target:
    """The parts of a request target.

    Attributes:
        service: Name of the service, the first path segment.
        rest: Path and query after the service name, not decoded.
        raw_path: Path after the service name, not decoded.
        path: The same path, decoded and without empty segments.
    """

    __slots__ = ("raw_path", "path", "rest", "service")

    def __init__(
        self, service: str, rest: str, raw_path: str, path: str
    ) -> None:
        self.raw_path = raw_path
        self.service = service
        self.rest = rest
        self.path = path


def split_target(raw: str) -> Target | None:
    """Splits `/<service>/<path>?<query>`.

    Returns:
        None when the target is malformed. A target with dot segments counts
        as malformed, since a backend server may resolve them to a path of
        another route.
    """
    if not raw.startswith("/"):
        return None
    service, slash, rest = raw[1:].partition("/")
    if not slash:
        service, mark, query = service.partition("?")
        rest = mark + query
    raw_path = "/" + rest.partition("?")[0]
    path = raw_path
    if "%" in path or "//" in path or "/." in path or "\\" in path:
        cleaned = _decode(path)
        if cleaned is None:
            return None
        path = cleaned
    return Target(service, f"/{rest}", raw_path, path)


def _decode(path: str) -> str | None:
    decoded = unquote(path).replace("\\", "/")
    segments = decoded.split("/")
    if "." in segments or ".." in segments or "\0" in decoded:
        return None
    while "//" in decoded:
        decoded = decoded.replace("//", "/")
    return decoded


def has_prefix(path: str, prefix: str) -> bool:
    """Whether `path` starts with all segments of `prefix`."""
    if not path.startswith(prefix):
        return False
    return (
        prefix.endswith("/")
        or len(path) == len(prefix)
        or path[len(prefix)] == "/"
    )


class RouteTable:
    """Finds services and routes of a configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._services: dict[str, Service] = {}
        self._routes: dict[str, list[tuple[str, frozenset[str], Route]]] = {}
        self._by_name: dict[tuple[str, str], Route] = {}
        self.load(configuration)

    def load(self, configuration: Configuration) -> None:
        """Replaces all services and routes by those of a configuration."""
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
        """Returns a service by name, or None."""
        return self._services.get(name)

    def route(self, target: Target, method: str) -> Route | None:
        """Returns the route of a request.

        Returns:
            None when no route matches. Also None when the raw path and the
            decoded path differ and only one of them belongs to a public
            route, since the backend server may use the other one.
        """
        found = self._longest_match(target.service, method, target.path)
        if target.raw_path is target.path or found is None:
            return found
        raw_route = self._longest_match(target.service, method, target.raw_path)
        if raw_route is None or raw_route.open_to_all is not found.open_to_all:
            return None
        return found

    def _longest_match(
        self, service: str, method: str, path: str
    ) -> Route | None:
        """Returns the route with the longest matching prefix.

        A prefix matches whole path segments, so that a public `/status` does
        not make `/status-admin` public.
        """
        for prefix, methods, route in self._routes.get(service, ()):
            if methods and method not in methods:
                continue
            if has_prefix(path, prefix):
                return route
        return None

    def route_by_name(self, service: str, route: str) -> Route | None:
        """Returns a route of a service by name, or None."""
        return self._by_name.get((service, route))
