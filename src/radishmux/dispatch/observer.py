"""Reports outcomes of attempts to servers, version chooser and metrics."""

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

# A connection is checked after this multiple of the route's 99th percentile of
# the latency without a received byte.
_SUSPICION_FACTOR = 3.0
_PERCENTILE = 99.0
# Recording a value in the histogram takes microseconds, so that only one
# response in this many is recorded.
_SAMPLE_EVERY = 8
_MIN_SAMPLES = 100
_MAX_LATENCY_US = 60_000_000
_MIN_SERVER_ERROR_STATUS = 500
# Reasons of failures that say nothing about the version and are not counted
# against it.
_NEUTRAL_REASONS = frozenset(("silent_connection",))


class _RouteLatency:
    """Sampled latencies of a route.

    Attributes:
        silent_after_s: Seconds without a received byte after which a
            connection is checked.
    """

    __slots__ = ("_histogram", "_response_count", "silent_after_s")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_LATENCY_US, 2)
        self._response_count = 0
        self.silent_after_s = SILENT_AFTER_S

    def add(self, latency_s: float) -> None:
        self._response_count += 1
        if self._response_count % _SAMPLE_EVERY:
            return
        microseconds = int(latency_s * 1e6)
        self._histogram.record_value(min(microseconds, _MAX_LATENCY_US))
        samples = self._histogram.get_total_count()
        if samples % _MIN_SAMPLES == 0:
            p99 = self._histogram.get_value_at_percentile(_PERCENTILE)
            self.silent_after_s = _SUSPICION_FACTOR * p99 / 1e6


class Observer:
    """Records the outcome of each attempt."""

    def __init__(
        self, clock: Clock, chooser: Chooser, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._chooser = chooser
        self._metrics = metrics
        self._latencies: dict[tuple[str, str], _RouteLatency] = {}
        self._attempt_series: dict[tuple[str, str, str, str], Series] = {}
        self._latency_series: dict[tuple[str, str], Series] = {}

    def silent_after_s(self, exchange: Exchange) -> float:
        """Returns the time without a received byte before a connection check.

        It depends on the latency of the route; the unit is seconds.
        """
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
        """Records the outcome of an attempt.

        A streamed response is counted here as soon as its headers have
        arrived; its latency and status follow in `record_stream_end`.
        Crashes, and failures of requests that did not run, are counted in
        the metrics but not against the version.

        Args:
            exchange: The request.
            backend: Server that the attempt was sent to.
            kind: `first` or `retry`.
            received: Response or failure.
            started: Monotonic time at which the attempt began.
            crashed: Whether the server crashed during the attempt.
        """
        now = self._clock.now()
        if isinstance(received, Failure):
            self._count_attempt(exchange, backend, kind, received.reason)
            if crashed or received.verdict.retriable:
                return
            if received.reason not in _NEUTRAL_REASONS:
                self._observe(exchange, backend, True, now - started, now)
            return
        self._count_attempt(exchange, backend, kind, "answered")
        if received.stream is None:
            self._record_complete_response(
                exchange, backend, received.status, started, now
            )

    def record_stream_end(
        self,
        exchange: Exchange,
        backend: Backend,
        status: int,
        started: float,
        complete: bool,
    ) -> None:
        """Records the end of a streamed response.

        An incomplete response is not counted, since the caller may have
        disconnected.

        Args:
            exchange: The request.
            backend: Server that the attempt was sent to.
            status: HTTP status of the response.
            started: Monotonic time at which the attempt began.
            complete: Whether the body was received in full.
        """
        if complete:
            now = self._clock.now()
            self._record_complete_response(
                exchange, backend, status, started, now
            )

    def _record_complete_response(
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
        series = self._latency_series.get((exchange.service, version))
        if series is None:
            series = self._metrics.series(
                "attempt_seconds", service=exchange.service, version=version
            )
            self._latency_series[exchange.service, version] = series
        series.observe(latency_s)
        failed = status >= _MIN_SERVER_ERROR_STATUS
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

    def _count_attempt(
        self, exchange: Exchange, backend: Backend, kind: str, outcome: str
    ) -> None:
        key = (exchange.service, backend.server.version, kind, outcome)
        series = self._attempt_series.get(key)
        if series is None:
            series = self._attempt_series[key] = self._metrics.series(
                "attempts_total",
                service=key[0],
                version=key[1],
                kind=kind,
                outcome=outcome,
            )
        series.add()
