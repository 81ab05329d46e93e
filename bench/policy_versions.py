"""Compares the version policy with a naive one, in virtual time.

    python -m bench.policy_versions [--runs 200] [--processes 4] [--seed 1]

Prints a table and one line of JSON. The naive policy raises the share on a
fixed timetable and judges health on each instance alone by fixed thresholds.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import statistics
from collections import deque
from typing import Any

import msgspec

from bench.version_traffic import Fleet, Outcome, Scenario
from radishmux.config.model import Shift
from radishmux.shift.chooser import VersionStop
from radishmux.shift.detector import Detector, RouteEvidence
from radishmux.shift.document import ShiftRecord, ShiftState
from radishmux.shift.observation import Fault, Observation
from radishmux.shift.plan import Measurements, Planner

SCENARIOS: dict[str, Scenario] = {
    "errors at once": Scenario(error_rate=0.1),
    "errors later": Scenario(error_rate=0.1, after_requests=300),
    "errors under load": Scenario(error_rate=0.1, from_share=0.2),
    "errors on one route": Scenario(error_rate=0.1, route="refill"),
    "all requests fail": Scenario(error_rate=1.0),
    "slow at once": Scenario(slowdown=2.0),
    "slow later": Scenario(slowdown=2.0, after_requests=300),
    "slow under load": Scenario(slowdown=2.0, from_share=0.2),
    "slow on one route": Scenario(slowdown=2.0, route="refill"),
    "slow, wide latencies": Scenario(slowdown=2.0, spread=0.6),
    "slow, very wide latencies": Scenario(slowdown=2.0, spread=1.0),
    "good": Scenario(),
    "good, loaded and cold": Scenario(
        loaded_region=True, cold_requests=20, crashing_share=0.002
    ),
    "good, 2% errors always": Scenario(old_error_rate=0.02),
    "good, 50% common errors": Scenario(common_errors=0.5),
}


class Timetable:
    """Doubles the share every 15 s, whatever happens."""

    def propose(
        self, shift: Shift, sequence: int, busy: bool, now: float
    ) -> ShiftRecord:
        """Starts the canary."""
        record = Planner().propose(shift, sequence, busy, now)
        return msgspec.structs.replace(
            record, state=ShiftState.CANARY, share_ppm=record.canary_ppm
        )

    def advance(
        self,
        record: ShiftRecord,
        shift: Shift,
        measured: Measurements,
        stop: VersionStop | None,
        now: float,
    ) -> ShiftRecord:
        """Takes the next step, or stops."""
        if stop is not None:
            return msgspec.structs.replace(
                record, state=ShiftState.TAKEN_BACK, share_ppm=0
            )
        if now < record.since + 15.0:
            return record
        done = record.share_ppm >= record.cap_ppm
        state = ShiftState.DONE if done else ShiftState.RAMPING
        share_ppm = min(2 * record.share_ppm, record.cap_ppm)
        return msgspec.structs.replace(
            record, state=state, share_ppm=share_ppm, since=now
        )


class InstanceHealth:
    """Judges the last 20 requests on one instance by fixed thresholds."""

    def __init__(self, service: str, version: str, routes: int) -> None:
        self._service = service
        self._version = version
        self._failed: deque[bool] = deque(maxlen=20)
        self._latencies: deque[float] = deque(maxlen=20)
        self._usual: list[float] = []
        self.requests = 0

    def observe(
        self, observation: Observation, is_new: bool, now: float
    ) -> Fault | None:
        """Takes one outcome."""
        if not is_new:
            if len(self._usual) < 100:
                self._usual.append(observation.latency_s)
            return None
        self.requests += 1
        self._failed.append(observation.failed)
        self._latencies.append(observation.latency_s)
        if len(self._failed) < 20 or not self._usual:
            return None
        limit_s = 1.5 * statistics.fmean(self._usual)
        slow = statistics.fmean(self._latencies) > limit_s
        if sum(self._failed) < 2 and not slow:
            return None
        return Fault(
            service=self._service,
            version=self._version,
            route=observation.route,
            kind="latency" if slow else "errors",
            reason="Threshold passed.",
        )

    def pop_evidence(self) -> tuple[RouteEvidence, ...]:
        """Shares nothing."""
        return ()

    def merge(self, evidence: RouteEvidence) -> Fault | None:
        """Takes nothing."""


def run_one(name: str, policy: str, seed: int) -> Outcome:
    """Returns the outcome of one scenario under one policy."""
    scenario = SCENARIOS[name]
    if policy == "naive":
        fleet = Fleet(scenario, seed, InstanceHealth, Timetable())
    else:
        fleet = Fleet(scenario, seed, Detector)
    return fleet.run()


def _quantile(values: list[float], q: float) -> float | None:
    """Returns a quantile; None when it falls among the missed runs."""
    ordered = sorted(values)
    value = ordered[min(len(ordered) - 1, int(q * len(ordered)))]
    return None if value == float("inf") else round(value, 1)


def summarise(name: str, policy: str, outcomes: list[Outcome]) -> Any:
    """Returns one row of the table."""
    bad = SCENARIOS[name].is_bad
    found = [o for o in outcomes if o.stopped_at_s is not None]
    row: dict[str, Any] = {
        "scenario": name,
        "policy": policy,
        "runs": len(outcomes),
        "stopped": len(found),
        "over_cap": sum(o.over_share for o in outcomes),
    }
    if not bad:
        done = [o.done_at_s for o in outcomes if o.done_at_s is not None]
        row["done"] = len(done)
        row["done_s"] = _quantile(done, 0.5) if done else None
        return row
    early = [
        o for o in found if (o.fault_from_s or 1e9) > (o.stopped_at_s or 0)
    ]
    row["stopped_before_fault"] = len(early)
    caught = [
        o for o in found if (o.fault_from_s or 1e9) <= (o.stopped_at_s or 0)
    ]
    missed = [float("inf")] * (len(outcomes) - len(caught))
    requests = [float(o.affected) for o in caught] + missed
    times = [
        (o.stopped_at_s or 0) - (o.fault_from_s or 0) for o in caught
    ] + missed
    for label, q in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99)):
        row[f"requests_{label}"] = _quantile(requests, q)
        row[f"seconds_{label}"] = _quantile(times, q)
    limit = 30 if SCENARIOS[name].error_rate else 60
    row["within_target"] = round(
        sum(r <= limit for r in requests) / len(requests), 3
    )
    return row


def main() -> None:
    """Runs all scenarios and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", action="append")
    arguments = parser.parse_args()
    names = arguments.scenario or list(SCENARIOS)
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    rows = []
    with concurrent.futures.ProcessPoolExecutor(arguments.processes) as pool:
        for name in names:
            for policy in ("radishmux", "naive"):
                jobs = [
                    pool.submit(run_one, name, policy, seed) for seed in seeds
                ]
                row = summarise(name, policy, [job.result() for job in jobs])
                rows.append(row)
                print("  ".join(f"{k}={v}" for k, v in row.items()), flush=True)
    result = {"seed": arguments.seed, "rows": rows}
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
