"""Health probes of backend servers, by their dispatcher alone."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from radishmux.clock import Clock
from radishmux.dispatch.backend import Backend
from radishmux.dispatch.pool import CellPool
from radishmux.telemetry.metrics import Metrics

# Two probes and a timeout fit into the 3 s after which a leaving server gets
# no new work.
PERIOD_S = 1.0
TIMEOUT_S = 0.8
# Probes after a takeover during which requests of the earlier dispatcher may
# still run.
FOREIGN_S = 30.0


class Health(msgspec.Struct, kw_only=True):
    """What a backend server says about itself."""

    state: str = "ready"
    version: str = ""
    in_flight: int = 0
    slots: int = 0


_decoder = msgspec.json.Decoder(Health)


class Prober:
    """Probes the servers of one cell while it runs."""

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
        # A fresh connection for each probe: an old one may be silent.
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
            self._failed(backend, error)
            return
        now = self._clock.now()
        foreign = now - self._started_at < FOREIGN_S
        changed = backend.apply_probe(
            health.state, health.in_flight, in_use, foreign
        )
        self._metrics.count(
            "probes_total", service=self._service, outcome="answered"
        )
        if changed:
            self._changed(backend)
        self._pool.serve_queue()

    def _failed(self, backend: Backend, error: Exception) -> None:
        self._metrics.count(
            "probes_total", service=self._service, outcome="failed"
        )
        refused = isinstance(error, aiohttp.ClientConnectorError)
        if refused:
            changed = backend.mark_down()
        else:
            changed = backend.record_probe_failure(self._clock.now())
        if changed:
            self._changed(backend)

    def _changed(self, backend: Backend) -> None:
        self._metrics.count(
            "backend_server_changes_total",
            service=self._service,
            state=backend.state,
        )
