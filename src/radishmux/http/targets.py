"""Splits request targets and finds the route of a path."""

from __future__ import annotations

from urllib.parse import unquote

from radishmux.config.model import Configuration, Route, Service


class Target:
    """A request target, split.

    Attributes:
        service: Name of the service: the first segment.
        rest: Path and query after it, as the caller wrote them.
        literal: Path after the service name, as the caller wrote it.
        path: The same, decoded and without empty segments.
    """

    __slots__ = ("literal", "path", "rest", "service")

    def __init__(
        self, service: str, rest: str, literal: str, path: str
    ) -> None:
        self.literal = literal
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
    literal = "/" + rest.partition("?")[0]
    path = literal
    if "%" in path or "//" in path or "/." in path or "\\" in path:
        cleaned = _decode(path)
        if cleaned is None:
            return None
        path = cleaned
    return Target(service, f"/{rest}", literal, path)


def _decode(path: str) -> str | None:
    decoded = unquote(path).replace("\\", "/")
    segments = decoded.split("/")
    if "." in segments or ".." in segments or "\0" in decoded:
        return None
    while "//" in decoded:
        decoded = decoded.replace("//", "/")
    return decoded


def has_prefix(path: str, prefix: str) -> bool:
    """Whether `prefix` covers the first whole segments of `path`."""
    if not path.startswith(prefix):
        return False
    return (
        prefix.endswith("/")
        or len(path) == len(prefix)
        or path[len(prefix)] == "/"
    )


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

    def route(self, target: Target, method: str) -> Route | None:
        """Returns the route of a request.

        Returns:
            None when there is none, or when only one of two readings of the
            path is public: a backend server may take the other one.
        """
        found = self._longest(target.service, method, target.path)
        if target.literal is target.path or found is None:
            return found
        literal = self._longest(target.service, method, target.literal)
        if literal is None or literal.open_to_all is not found.open_to_all:
            return None
        return found

    def _longest(self, service: str, method: str, path: str) -> Route | None:
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

    def named(self, service: str, route: str) -> Route | None:
        """Returns a route by its name."""
        return self._by_name.get((service, route))
