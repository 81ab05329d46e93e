"""Counters, gauges and histograms, rendered by aioprometheus.

aioprometheus encodes the labels as JSON on each update, which costs several
microseconds. Updates therefore go to plain `Series` objects keyed by name and
labels, which are copied to the library's collectors on rendering.
"""

from __future__ import annotations

import bisect
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.formats.text import TEXT_CONTENT_TYPE

from radishmux.telemetry.catalogue import (
    LATENCY_BUCKETS_S,
    METRICS,
    Kind,
    Metric,
)

# Bounds the memory used by label values that come from outside.
MAX_SERIES_PER_METRIC = 2_000

_Key = tuple[str, tuple[tuple[str, Any], ...]]


class UndeclaredMetricError(LookupError):
    """The catalogue has no metric with this name, kind and labels."""


class Series:
    """One time series of a metric.

    Frequent call sites look their series up once and update it directly.

    Attributes:
        labels: Values of all labels of the metric, by name.
        value: Total of a counter, last value of a gauge, sum of a histogram.
        buckets: Observations in each bucket of a histogram.
    """

    __slots__ = ("buckets", "labels", "value")

    def __init__(self, labels: dict[str, str], bucket_count: int) -> None:
        self.labels = labels
        self.value = 0.0
        self.buckets = [0] * bucket_count

    def add(self, amount: float = 1) -> None:
        """Adds to a counter."""
        self.value += amount

    def observe(self, value: float) -> None:
        """Adds an observation to a histogram."""
        self.value += value
        self.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, value)] += 1


class Metrics:
    """All metrics of one process."""

    def __init__(self, catalogue: tuple[Metric, ...] = METRICS) -> None:
        self._declared = {metric.name: metric for metric in catalogue}
        self._series: dict[_Key, Series] = {}
        self._by_metric: dict[str, dict[tuple[str, ...], Series]] = {
            metric.name: {} for metric in catalogue
        }
        # Discards the updates of series beyond MAX_SERIES_PER_METRIC.
        self._dropped = Series({}, len(LATENCY_BUCKETS_S))

    def count(self, name: str, amount: float = 1, **labels: Any) -> None:
        """Adds `amount` to a counter.

        Raises:
            UndeclaredMetricError: No such counter with these labels.
        """
        key = (name, tuple(labels.items()))
        try:
            self._series[key].value += amount
        except KeyError:
            self._find_or_create(key, Kind.COUNTER).value += amount

    def observe(self, name: str, value: float, **labels: Any) -> None:
        """Adds an observation to a histogram.

        Raises:
            UndeclaredMetricError: No such histogram with these labels.
        """
        key = (name, tuple(labels.items()))
        series = self._series.get(key)
        if series is None:
            series = self._find_or_create(key, Kind.HISTOGRAM)
        series.observe(value)

    def set(self, name: str, value: float, **labels: Any) -> None:
        """Sets a gauge.

        Raises:
            UndeclaredMetricError: No such gauge with these labels.
        """
        key = (name, tuple(labels.items()))
        try:
            self._series[key].value = value
        except KeyError:
            self._find_or_create(key, Kind.GAUGE).value = value

    def series(self, name: str, **labels: Any) -> Series:
        """Returns a series, for call sites that update it often.

        An update of the series costs about a tenth of an update by name; see
        bench/telemetry.py.

        Raises:
            UndeclaredMetricError: No such metric with these labels.
        """
        key = (name, tuple(labels.items()))
        series = self._series.get(key)
        if series is not None:
            return series
        metric = self._declared.get(name)
        return self._find_or_create(
            key, metric.kind if metric else Kind.COUNTER
        )

    def value(self, name: str, **labels: Any) -> float:
        """Returns the sum of all series of `name` that match `labels`."""
        wanted = {(label, str(text)) for label, text in labels.items()}
        return sum(
            series.value
            for series in self._by_metric[name].values()
            if wanted <= series.labels.items()
        )

    def render(self) -> tuple[bytes, str]:
        """Returns the Prometheus text format and its content type."""
        registry = Registry()
        for metric in self._declared.values():
            _COLLECT[metric.kind](
                metric, list(self._by_metric[metric.name].values()), registry
            )
        body, _ = render(registry, ())
        return body, TEXT_CONTENT_TYPE

    def _find_or_create(self, key: _Key, kind: Kind) -> Series:
        """Validates a key on its first use and returns its series."""
        name, label_items = key
        metric = self._declared.get(name)
        if metric is None or metric.kind is not kind:
            raise UndeclaredMetricError(f"no {kind.value} named {name!r}")
        given = {label: str(text) for label, text in label_items}
        if not given.keys() <= set(metric.labels):
            raise UndeclaredMetricError(
                f"{name} has the labels {metric.labels}, not {tuple(given)}"
            )
        labels = {label: given.get(label, "") for label in metric.labels}
        return self._record(key, metric, labels)

    def _record(
        self, key: _Key, metric: Metric, labels: dict[str, str]
    ) -> Series:
        recorded = self._by_metric[metric.name]
        identity = tuple(labels[label] for label in metric.labels)
        series = recorded.get(identity)
        if series is None and len(recorded) >= MAX_SERIES_PER_METRIC:
            self.count("series_dropped_total", metric=metric.name)
            return self._dropped
        if series is None:
            buckets = (
                len(LATENCY_BUCKETS_S) if metric.kind is Kind.HISTOGRAM else 0
            )
            series = recorded[identity] = Series(labels, buckets)
        self._series[key] = series
        return series


def _escape_labels(labels: dict[str, str]) -> dict[str, str]:
    """Escapes label values, which aioprometheus does not do itself."""
    return {
        label: text.replace("\\", "\\\\")
        .replace('"', '\\"')
        .replace("\n", "\\n")
        for label, text in labels.items()
    }


def _collect_counter(
    metric: Metric, series: list[Series], registry: Registry
) -> None:
    counter = Counter(metric.rendered_name, metric.help, registry=registry)
    for item in series:
        counter.set(_escape_labels(item.labels), item.value)


def _collect_gauge(
    metric: Metric, series: list[Series], registry: Registry
) -> None:
    gauge = Gauge(metric.rendered_name, metric.help, registry=registry)
    for item in series:
        # A gauge may hold a bool, which the text format does not support.
        gauge.set(_escape_labels(item.labels), float(item.value))


def _collect_histogram(
    metric: Metric, series: list[Series], registry: Registry
) -> None:
    histogram = Histogram(
        metric.rendered_name,
        metric.help,
        registry=registry,
        buckets=LATENCY_BUCKETS_S,
    )
    for item in series:
        labels = _escape_labels(item.labels)
        # Creates the library's aggregate; its counts are replaced below.
        histogram.observe(labels, 0.0)
        aggregate = histogram.get_value(labels)
        total = 0
        for bound, amount in zip(LATENCY_BUCKETS_S, item.buckets, strict=True):
            total += amount
            aggregate.buckets[bound] = total
        aggregate.observations = total
        aggregate.sum = item.value


_COLLECT = {
    Kind.COUNTER: _collect_counter,
    Kind.GAUGE: _collect_gauge,
    Kind.HISTOGRAM: _collect_histogram,
}
