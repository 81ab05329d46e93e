"""Health probes of backend servers.

Only the instance that dispatches to a cell probes its servers.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from radishmux.clock import Clock
from radishmux.dispatch.backend import Backend
from radishmux.dispatch.pool import CellPool
from radishmux.telemetry.metrics import Metrics

# A server that is leaving must get no new requests after 3 s; two probes and a
# timeout fit into that time.
PERIOD_S = 1.0
TIMEOUT_S = 0.8
# Time after a takeover of the cell during which requests of its previous
# dispatcher may still run on the servers.
PREVIOUS_REQUESTS_S = 30.0


class Health(msgspec.Struct, kw_only=True):
    """Response of a backend server's health endpoint.

    Attributes:
        state: `ready`, `warming` or `draining`.
        version: Version that the server runs.
        in_flight: Number of requests in flight at the server.
        slots: Number of requests that the server can run at a time.
    """

    state: str = "ready"
    version: str = ""
    in_flight: int = 0
    slots: int = 0


_decoder = msgspec.json.Decoder(Health)


class Prober:
    """Probes the servers of one cell periodically.

    Args:
        pool: Servers of the cell; the results change their state.
        clock: Monotonic time.
        metrics: Counts probes and changes of state.
        service: Name of the service, as a label of the metrics.
    """

    def __init__(
        self, pool: CellPool, clock: Clock, metrics: Metrics, service: str
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._service = service
        self._started_at = clock.now()

    async def run(self) -> None:
        """Probes until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        # Each probe uses a new connection, because an old one may be silent.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            while True:
                probes = [
                    self._probe(session, backend)
                    for backend in self._pool.backends
                ]
                pause = asyncio.sleep(PERIOD_S)
                await asyncio.gather(pause, *probes)

    async def _probe(
        self, session: aiohttp.ClientSession, backend: Backend
    ) -> None:
        in_use = backend.in_use
        try:
            url = f"http://{backend.server.address}/health"
            async with session.get(url) as response:
                response.raise_for_status()
                health = _decoder.decode(await response.read())
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            self._on_failure(backend, error)
            return
        now = self._clock.now()
        after_takeover = now - self._started_at < PREVIOUS_REQUESTS_S
        changed = backend.apply_probe(
            health.state, health.in_flight, in_use, after_takeover
        )
        self._metrics.count(
            "probes_total", service=self._service, outcome="answered"
        )
        if changed:
            self._count_change(backend)
        self._pool.serve_queue()

    def _on_failure(self, backend: Backend, error: Exception) -> None:
        self._metrics.count(
            "probes_total", service=self._service, outcome="failed"
        )
        refused = isinstance(error, aiohttp.ClientConnectorError)
        if refused:
            changed = backend.mark_down()
        else:
            changed = backend.record_probe_failure(self._clock.now())
        if changed:
            self._count_change(backend)

    def _count_change(self, backend: Backend) -> None:
        self._metrics.count(
            "backend_server_changes_total",
            service=self._service,
            state=backend.state,
        )
