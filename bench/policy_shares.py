"""Rate shares with loans against static shares of 1/N, in virtual time.

Runs the real membership, roster and share code; see bench.virtual_fleet.
Usage: python -m bench.policy_shares [--json FILE]
"""

from __future__ import annotations

import argparse
import json
import pathlib
import statistics
import time
from collections.abc import Callable

from bench.share_workload import CentralBucket, Tally, Workload
from bench.virtual_fleet import VirtualFleet
from radishmux.config.model import Customer

INSTANCES = 10
REGIONS = ("region1", "region2", "region3")
# Demand of each customer as a part of its rate.
LOAD = 0.8
SKEW = 0.9
GREEDY_FACTOR = 5.0
WARM_UP_S = 25.0
SEED = 20260107
# Eight customers, three of them large.
CUSTOMERS = tuple(
    Customer(name=name, rate_per_s=rate, burst=burst)
    for name, rate, burst in (
        ("large1", 120, 240),
        ("large2", 100, 200),
        ("large3", 80, 160),
        ("medium1", 40, 80),
        ("medium2", 40, 80),
        ("small1", 20, 40),
        ("small2", 20, 40),
        ("small3", 20, 40),
    )
)


class StaticShares:
    """The naive baseline: 1/N of each rate per instance, no loans.

    Stands for the fleet in a Workload, which asks it for admissions.
    """

    def __init__(self, names: tuple[str, ...]) -> None:
        self._buckets = {
            (name, customer.name): CentralBucket(
                customer.rate_per_s / len(names), customer.burst / len(names)
            )
            for name in names
            for customer in CUSTOMERS
        }

    def admit(self, instance: str, customer: str, now: float) -> bool:
        """Takes a token of the instance's share."""
        return self._buckets[instance, customer].take(now)


class FleetPolicy:
    """A warm fleet with skewed demand; one scenario per instance.

    Args:
        seed: Of all random choices.
    """

    greedy = "medium1"

    def __init__(self, seed: int) -> None:
        self.fleet = VirtualFleet(seed, list(CUSTOMERS))
        for index in range(INSTANCES):
            self.fleet.add(f"i{index}", REGIONS[index % len(REGIONS)])
        self.static = StaticShares(tuple(self.fleet.nodes))
        self.work = Workload(self.fleet, baseline=self.static.admit)
        self.fleet.run(WARM_UP_S - 10.0)
        self.set_demand({})

    def __enter__(self) -> FleetPolicy:
        return self

    def __exit__(self, *exc: object) -> None:
        self.fleet.__exit__()

    def set_demand(self, factors: dict[str, float]) -> None:
        """Sets each customer's demand to its usual one times a factor."""
        names = list(self.fleet.nodes)
        for index, customer in enumerate(CUSTOMERS):
            home = names[index % len(names)]
            rest = (1.0 - SKEW) / (len(names) - 1)
            places = {n: SKEW if n == home else rest for n in names}
            factor = factors.get(customer.name, LOAD)
            self.work.demand(
                customer.name, factor * customer.rate_per_s, places
            )

    def run_steady(self, seconds: float) -> None:
        """Nothing happens."""
        self._measure(seconds)

    def run_greedy(self, seconds: float) -> None:
        """One customer sends several times its rate."""
        self.set_demand({self.greedy: GREEDY_FACTOR})
        self._measure(seconds)

    def run_death(self, seconds: float) -> None:
        """The instance with the largest customer's callers dies."""
        fleet = self.fleet
        fleet.at(WARM_UP_S + 5.0, lambda: fleet.kill("i0"))
        self._measure(seconds)

    def run_region_lost(self, seconds: float) -> None:
        """All instances of a region without the store die."""
        fleet = self.fleet
        for node in list(fleet.nodes.values()):
            if node.region == REGIONS[1]:
                fleet.at(WARM_UP_S + 5.0, lambda n=node: fleet.kill(n.name))
        self._measure(seconds)

    def run_outage(self, seconds: float) -> None:
        """The store is out while one customer is greedy."""
        self.fleet.store_up = False
        self.set_demand({self.greedy: GREEDY_FACTOR})
        self._measure(seconds)

    def _measure(self, seconds: float) -> None:
        self.fleet.run(WARM_UP_S)
        self.work.reset()
        self.fleet.run(WARM_UP_S + seconds)


SCENARIOS: dict[str, tuple[Callable[[FleetPolicy, float], None], float]] = {
    "steady state": (FleetPolicy.run_steady, 60.0),
    "one customer at 5x": (FleetPolicy.run_greedy, 60.0),
    "instance death": (FleetPolicy.run_death, 60.0),
    "region lost": (FleetPolicy.run_region_lost, 60.0),
    "store outage": (FleetPolicy.run_outage, 600.0),
}


def summarize(tallies: dict[str, Tally]) -> dict[str, float]:
    """Returns the figures of one scenario, refusals in percent."""
    refused = {n: 100 * t.refused_within_rate for n, t in tallies.items()}
    static = {n: 100 * t.baseline_refused for n, t in tallies.items()}
    latencies = [tally.mean_latency_s() for tally in tallies.values()]
    return {
        "refused_mean_pct": statistics.fmean(refused.values()),
        "refused_worst_pct": max(refused.values()),
        "static_refused_mean_pct": statistics.fmean(static.values()),
        "static_refused_worst_pct": max(static.values()),
        "latency_worst_to_median": max(latencies)
        / statistics.median(latencies),
        "lowest_central_tokens": min(t.lowest for t in tallies.values()),
    }


def main() -> None:
    """Runs all scenarios and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    print(f"seed {SEED}, {INSTANCES} instances, {len(CUSTOMERS)} customers")
    print(
        f"{'scenario':<20}{'loans: mean':>12}{'worst':>8}"
        f"{'static: mean':>14}{'worst':>8}{'latency':>9}{'run s':>7}"
    )
    results = {}
    for name, (scenario, seconds) in SCENARIOS.items():
        started = time.monotonic()
        with FleetPolicy(SEED) as policy:
            scenario(policy, seconds)
            found = summarize(policy.work.tallies)
        results[name] = found
        print(
            f"{name:<20}{found['refused_mean_pct']:>11.3f}%"
            f"{found['refused_worst_pct']:>7.2f}%"
            f"{found['static_refused_mean_pct']:>13.2f}%"
            f"{found['static_refused_worst_pct']:>7.1f}%"
            f"{found['latency_worst_to_median']:>9.2f}"
            f"{time.monotonic() - started:>7.0f}",
            flush=True,
        )
    text = json.dumps({"seed": SEED, "scenarios": results}, indent=2)
    if arguments.json is not None:
        arguments.json.write_text(text + "\n", encoding="utf-8")
    else:
        print(text)


if __name__ == "__main__":
    main()
