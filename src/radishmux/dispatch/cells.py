"""Divides backend servers into cells and picks a dispatcher for each cell.

Both use rendezvous hashing, so that all instances with the same configuration
and the same view of the members agree.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import xxhash

from radishmux.config.model import BackendServer, Configuration
from radishmux.instances.interface import Instance


class LiveInstances(Protocol):
    """The part of membership.view.MembershipView that cells need."""

    def live(self, region: str | None = None) -> tuple[Instance, ...]:
        """Returns the live instances."""

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance is about to stop."""


class ConfigSource(Protocol):
    """The part of config.state.ConfigState that cells need."""

    current: Configuration

    def watch(self, callback: Callable[[Configuration], None]) -> Any:
        """Calls `callback` with each configuration that takes effect."""


class Cell:
    """Backend servers of one service and region that share a dispatcher.

    Attributes:
        service: Name of the service.
        region: Name of the region.
        shard: Number of the cell among those of its service and region.
        servers: Backend servers of the cell.
        name: `<service>/<region>/<shard>`.
    """

    __slots__ = ("name", "region", "servers", "service", "shard")

    def __init__(
        self,
        service: str,
        region: str,
        shard: int,
        servers: tuple[BackendServer, ...],
    ) -> None:
        self.service = service
        self.region = region
        self.shard = shard
        self.servers = servers
        self.name = f"{service}/{region}/{shard}"


def rendezvous_score(key: str, candidate: str) -> int:
    """Returns the rendezvous hash by which a key picks a candidate.

    The candidate with the highest value is picked.
    """
    return xxhash.xxh64_intdigest(f"{key}\0{candidate}".encode())


class CellMap:
    """Cells of the current configuration and their dispatchers."""

    def __init__(self, config: ConfigSource, members: LiveInstances) -> None:
        self._members = members
        self._cells: dict[tuple[str, str], tuple[Cell, ...]] = {}
        self._by_name: dict[str, Cell] = {}
        self._dispatchers: dict[str, Instance | None] = {}
        self.load(config.current)
        config.watch(self.load)

    def load(self, configuration: Configuration) -> None:
        """Replaces the cells by those of a configuration."""
        groups: dict[tuple[str, str], list[BackendServer]] = {}
        for server in configuration.backend_servers:
            groups.setdefault((server.service, server.region), []).append(
                server
            )
        self._cells = {
            group: _divide_into_cells(*group, servers, configuration.cell_size)
            for group, servers in groups.items()
        }
        self._by_name = {
            cell.name: cell for cells in self._cells.values() for cell in cells
        }
        self._dispatchers.clear()

    def clear_dispatchers(self) -> None:
        """Discards the cached dispatchers, since members may have changed.

        Called every 50 ms.
        """
        self._dispatchers.clear()

    def cells(self, service: str, region: str) -> tuple[Cell, ...]:
        """Returns the cells of a service in a region."""
        return self._cells.get((service, region), ())

    def find(self, name: str) -> Cell | None:
        """Returns the cell with a name, or None if there is none."""
        return self._by_name.get(name)

    def cell_name_of(self, backend_server: str) -> str:
        """Returns the name of a backend server's cell.

        The name is empty if no cell has the server.
        """
        for cell in self._by_name.values():
            if any(s.name == backend_server for s in cell.servers):
                return cell.name
        return ""

    def all(self) -> tuple[Cell, ...]:
        """Returns all cells."""
        return tuple(self._by_name.values())

    def dispatcher(self, cell: Cell) -> Instance | None:
        """Returns the live instance with the highest rendezvous hash.

        Leaving instances are only considered if all live ones are leaving.
        The result is cached until `clear_dispatchers`, since reading the
        members for each request would cost more than the rest of the
        request's steering.

        Returns:
            The dispatcher, or None if the region has no live instance.
        """
        if cell.name in self._dispatchers:
            return self._dispatchers[cell.name]
        live = self._members.live(cell.region)
        staying = [
            instance
            for instance in live
            if not self._members.is_leaving(instance.instance)
        ]
        chosen = max(
            staying or live,
            key=lambda instance: rendezvous_score(cell.name, instance.instance),
            default=None,
        )
        self._dispatchers[cell.name] = chosen
        return chosen


def _divide_into_cells(
    service: str, region: str, servers: list[BackendServer], cell_size: int
) -> tuple[Cell, ...]:
    shards = -(-len(servers) // cell_size)  # Rounded up.
    groups: list[list[BackendServer]] = [[] for _ in range(shards)]
    for server in servers:
        scores = [
            rendezvous_score(server.name, str(shard)) for shard in range(shards)
        ]
        groups[scores.index(max(scores))].append(server)
    return tuple(
        Cell(service, region, shard, tuple(group))
        for shard, group in enumerate(groups)
        if group
    )
