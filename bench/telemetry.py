"""Cost of telemetry calls: `python -m bench.telemetry`.

Prints nanoseconds per call, the median of several rounds.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable

from bench import json_report
from radishmux.telemetry.metrics import Metrics
from radishmux.telemetry.traces import Tracer

_ROUNDS = 7
_CALLS = 20_000


def _span(tracer: Tracer) -> None:
    with tracer.span("request", service="credits"):
        pass


def _nanoseconds(call: Callable[[], object]) -> float:
    rounds = []
    for _ in range(_ROUNDS):
        start = time.perf_counter_ns()
        for _ in range(_CALLS):
            call()
        rounds.append((time.perf_counter_ns() - start) / _CALLS)
    return round(statistics.median(rounds))


def measure() -> dict[str, float]:
    """Returns nanoseconds per call by the call's name."""
    metrics = Metrics()
    kept = metrics.series("lookups_total", outcome="served")
    unsampled, sampled = Tracer(0.0, 100), Tracer(1.0, 100)
    calls: dict[str, Callable[[], object]] = {
        "count_0_labels": lambda: metrics.count("loan_failures"),
        "count_4_labels": lambda: metrics.count(
            "requests_total",
            customer="hospital",
            service="credits",
            route="confirm",
            outcome="served",
        ),
        "observe_2_labels": lambda: metrics.observe(
            "request_seconds", 0.02, service="credits", route="confirm"
        ),
        "set_1_label": lambda: metrics.set("slots", 4, cell="a"),
        "series_add": kept.add,
        "span_unsampled": lambda: _span(unsampled),
        "span_sampled": lambda: _span(sampled),
    }
    return {name: _nanoseconds(call) for name, call in calls.items()}


def main() -> None:
    """Runs the benchmark from the command line."""
    json_report.run(measure, __doc__)


if __name__ == "__main__":
    main()
