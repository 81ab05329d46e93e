"""Shares the loads of backend servers through the reports of instances."""

from __future__ import annotations

from radishmux.clock import Clock
from radishmux.steer.load_rows import LoadRow
from radishmux.steer.placement import Placement
from radishmux.steer.server_state import LoadReport
from radishmux.steer.servers import Server, ServerTable
from radishmux.steer.shared_loads import SharedLoads, Source
from radishmux.telemetry.logs import state_change
from radishmux.telemetry.metrics import Metrics


class LoadExchange:
    """Learns loads from responses and reports and passes them on.

    Does nothing while loads are not shared.

    Args:
        region: Region of this instance.
        servers: The backend servers.
        placement: Holds the observed state of each server.
        setting: Whether loads are shared; None: only in fleets with hubs.
        clock: Monotonic time.
        metrics: Counts the rows and their bytes.
    """

    def __init__(
        self,
        region: str,
        servers: ServerTable,
        placement: Placement,
        setting: bool | None,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._region = region
        self._servers = servers
        self._placement = placement
        self._setting = setting
        self._clock = clock
        self._metrics = metrics
        self._is_on = False
        self._is_hub = False
        self._period_s = 0.0
        self._regions: dict[str, str] = {}
        self._loads = SharedLoads(self._apply_row)

    @property
    def is_on(self) -> bool:
        """Whether loads are shared."""
        return self._is_on

    @property
    def known_count(self) -> int:
        """Number of servers whose load is known."""
        return self._loads.known_count(self._clock.now())

    def set_role(self, is_hub: bool, has_hubs: bool, period_s: float) -> None:
        """Sets the part of this instance in the exchange of reports.

        Args:
            is_hub: Whether it passes on what its members report.
            has_hubs: Whether the fleet is larger than a full mesh.
            period_s: Time between two reports.
        """
        self._is_hub = is_hub
        self._period_s = period_s
        is_on = has_hubs if self._setting is None else self._setting
        if is_on != self._is_on:
            self._is_on = is_on
            state_change("sharing of server loads", "on" if is_on else "off")
        self.update_servers()

    def update_servers(self) -> None:
        """Takes over the servers of the table."""
        if not self._is_on:
            return
        regions = {server.name: server.region for server in self._servers.all()}
        if regions != self._regions:
            self._regions = regions
            own_region = {
                name
                for name, region in regions.items()
                if region == self._region
            }
            self._loads.set_servers(regions, own_region)

    def record_response(
        self, server: Server, load: LoadReport, is_rejection: bool, now: float
    ) -> None:
        """Records the load that a server told this instance.

        Args:
            server: The server.
            load: Its load.
            is_rejection: Whether it rejected a request for lack of room.
            now: Monotonic seconds.
        """
        if self._is_on:
            self._loads.record_response(
                server.name,
                load.running + load.waiting,
                load.slots,
                is_rejection,
                now,
            )

    def rows_for_hub(self) -> bytes | None:
        """Returns the rows for a hub of any region; None if there are none.

        A hub sends those of its region, a member what it has learned itself.
        """
        return self._rows(Source.REGION if self._is_hub else Source.OWN)

    def rows_for_member(self) -> bytes | None:
        """Returns the rows for a member of the region; None if none."""
        return self._rows(Source.OTHER_REGION)

    def apply(self, rows: bytes | None, region: str) -> None:
        """Applies the rows of a report.

        Args:
            rows: The rows, if the report has any.
            region: Region of the instance that sent it.
        """
        if not self._is_on or not rows:
            return
        is_own = region == self._region
        source = Source.REGION if is_own else Source.OTHER_REGION
        merged = self._loads.merge(rows, source, self._clock.now())
        if merged:
            self._metrics.count("gateway_server_load_rows_total", merged)

    def _rows(self, farthest: Source) -> bytes | None:
        if not self._is_on:
            return None
        rows = self._loads.body_for(farthest, self._period_s, self._clock.now())
        if rows is not None:
            self._metrics.count("gateway_server_load_bytes_total", len(rows))
        return rows

    def _apply_row(self, name: str, row: LoadRow) -> None:
        server = self._servers.get(name)
        if server is not None:
            state = self._placement.state_of(server)
            state.apply_peer_report(row.load, row.at)
