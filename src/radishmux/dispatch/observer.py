"""Reports attempts to the version chooser and to the metrics."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from radishmux.clock import Clock
from radishmux.dispatch.attempt import Failure, ReceivedResponse
from radishmux.dispatch.backend import Backend
from radishmux.dispatch.exchange import Exchange
from radishmux.dispatch.protocols import Chooser
from radishmux.dispatch.silence import SILENT_AFTER_S
from radishmux.shift.observation import Observation
from radishmux.telemetry.metrics import Metrics, Series

# The suspicion time follows 3 times the 99th percentile of the route.
_SILENT_FACTOR = 3.0
_PERCENTILE = 99.0
# A histogram takes microseconds to record, so that one answer in some is.
_SAMPLE_EVERY = 8
_MIN_SAMPLES = 100
_MAX_LATENCY_US = 60_000_000
_SERVER_ERROR = 500
# Failures that say nothing about the version.
_NOT_ITS_FAULT = frozenset(("silent_connection",))


class _RouteLatency:
    """Latencies of a route, sampled."""

    __slots__ = ("_count", "_histogram", "silent_after_s")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_LATENCY_US, 2)
        self._count = 0
        self.silent_after_s = SILENT_AFTER_S

    def add(self, latency_s: float) -> None:
        self._count += 1
        if self._count % _SAMPLE_EVERY:
            return
        microseconds = int(latency_s * 1e6)
        self._histogram.record_value(min(microseconds, _MAX_LATENCY_US))
        samples = self._histogram.get_total_count()
        if samples % _MIN_SAMPLES == 0:
            p99 = self._histogram.get_value_at_percentile(_PERCENTILE)
            self.silent_after_s = _SILENT_FACTOR * p99 / 1e6


class Observer:
    """Takes the outcome of each attempt."""

    def __init__(
        self, clock: Clock, chooser: Chooser, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._chooser = chooser
        self._metrics = metrics
        self._latencies: dict[tuple[str, str], _RouteLatency] = {}
        self._attempts: dict[tuple[str, str, str, str], Series] = {}
        self._seconds: dict[tuple[str, str], Series] = {}

    def silent_after_s(self, exchange: Exchange) -> float:
        """Returns the time without a byte that is suspicious."""
        key = (exchange.service, exchange.route.name)
        latency = self._latencies.get(key)
        return SILENT_AFTER_S if latency is None else latency.silent_after_s

    def record_attempt(
        self,
        exchange: Exchange,
        backend: Backend,
        kind: str,
        received: ReceivedResponse | Failure,
        started: float,
        crashed: bool,
    ) -> None:
        """Takes the end of an attempt, or the headers of its stream."""
        now = self._clock.now()
        if isinstance(received, Failure):
            self._count(exchange, backend, kind, received.reason)
            if crashed or received.verdict.retriable:
                return
            if received.reason not in _NOT_ITS_FAULT:
                self._observe(exchange, backend, True, now - started, now)
            return
        self._count(exchange, backend, kind, "answered")
        if received.stream is None:
            self._complete(exchange, backend, received.status, started, now)

    def record_stream_end(
        self,
        exchange: Exchange,
        backend: Backend,
        status: int,
        started: float,
        complete: bool,
    ) -> None:
        """Takes the end of a streamed response.

        An incomplete one is not counted, since the caller may have left.
        """
        if complete:
            now = self._clock.now()
            self._complete(exchange, backend, status, started, now)

    def _complete(
        self,
        exchange: Exchange,
        backend: Backend,
        status: int,
        started: float,
        now: float,
    ) -> None:
        latency_s = now - started
        backend.record_response(latency_s, now)
        key = (exchange.service, exchange.route.name)
        latency = self._latencies.get(key)
        if latency is None:
            latency = self._latencies[key] = _RouteLatency()
        latency.add(latency_s)
        version = backend.server.version
        series = self._seconds.get((exchange.service, version))
        if series is None:
            series = self._metrics.series(
                "attempt_seconds", service=exchange.service, version=version
            )
            self._seconds[exchange.service, version] = series
        series.observe(latency_s)
        failed = status >= _SERVER_ERROR
        self._observe(exchange, backend, failed, latency_s, now)

    def _observe(
        self,
        exchange: Exchange,
        backend: Backend,
        failed: bool,
        latency_s: float,
        now: float,
    ) -> None:
        server = backend.server
        observation = Observation(
            service=exchange.service,
            version=server.version,
            route=exchange.route.name,
            failed=failed,
            latency_s=latency_s,
            backend_server=server.name,
            region=server.region,
            warming=backend.is_warming,
        )
        self._chooser.observe(observation, now)

    def _count(
        self, exchange: Exchange, backend: Backend, kind: str, outcome: str
    ) -> None:
        key = (exchange.service, backend.server.version, kind, outcome)
        series = self._attempts.get(key)
        if series is None:
            series = self._attempts[key] = self._metrics.series(
                "attempts_total",
                service=key[0],
                version=key[1],
                kind=kind,
                outcome=outcome,
            )
        series.add()
