"""Callers of a virtual fleet, and the naive central bucket to compare with."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Mapping

from bench.virtual_fleet import VirtualFleet
from radishmux.config.model import Customer
from radishmux.verdict import Refusal

# Callers notice a dead instance by the refused connection and go on.
RETRY_S = 0.05


class CentralBucket:
    """One token bucket for the whole fleet, as if there were no network.

    Args:
        rate_per_s: Accrual.
        burst: Capacity, full at the start.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self._at = 0.0

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Changes rate and burst; a higher burst comes with its tokens."""
        self.advance(now)
        self.tokens += max(0.0, burst - self.burst)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def advance(self, now: float) -> None:
        """Adds what has accrued."""
        accrued = (now - self._at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + accrued)
        self._at = now

    def take(self, now: float) -> bool:
        """Takes a token, if there is one."""
        self.advance(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def charge(self, now: float) -> float:
        """Takes a token in any case and returns what is left.

        A level below 0 shows an interval with more than rate x t + burst.
        """
        self.advance(now)
        self.tokens -= 1.0
        return self.tokens


class Tally:
    """What happened to one customer's requests.

    Attributes:
        within_rate: Requests that the central bucket admits.
        lowest: Lowest level of the central bucket that is charged with each
            admission of the fleet.
    """

    def __init__(self, customer: Customer) -> None:
        self.offered = 0
        self.within_rate = 0
        self.admitted = 0
        self.baseline_admitted = 0
        self.refused = 0
        self.waits_s: list[float] = []
        self.lowest = customer.burst
        self.admits = CentralBucket(customer.rate_per_s, customer.burst)
        self.charged = CentralBucket(customer.rate_per_s, customer.burst)

    def reset(self) -> None:
        """Starts a new measurement; the buckets go on."""
        self.offered = self.within_rate = self.admitted = self.refused = 0
        self.baseline_admitted = 0
        self.waits_s = []

    @property
    def refused_within_rate(self) -> float:
        """Fraction of the requests within rate that were refused."""
        return self._missing(self.admitted)

    @property
    def baseline_refused(self) -> float:
        """The same for the baseline."""
        return self._missing(self.baseline_admitted)

    def _missing(self, admitted: int) -> float:
        if self.within_rate == 0:
            return 0.0
        return max(0, self.within_rate - admitted) / self.within_rate

    def mean_latency_s(self, service_s: float = 0.05) -> float:
        """Mean time to admission plus a nominal time at the server."""
        return service_s + statistics.fmean(self.waits_s or [0.0])


class Workload:
    """Callers with Poisson arrivals, spread over the instances by weights.

    Args:
        fleet: The instances.
        wait_s: How long callers are willing to wait.
        baseline: Another policy that gets the same requests: called with
            instance, customer and time, returns whether it admits.
    """

    def __init__(
        self,
        fleet: VirtualFleet,
        wait_s: float = 1.0,
        baseline: Callable[[str, str, float], bool] | None = None,
    ) -> None:
        self._fleet = fleet
        self._baseline = baseline
        self._wait_s = wait_s
        self.tallies = {
            name: Tally(customer) for name, customer in fleet.customers.items()
        }
        self._rates: dict[str, float] = {}
        self._places: dict[str, Mapping[str, float]] = {}

    def demand(
        self, customer: str, rate_per_s: float, places: Mapping[str, float]
    ) -> None:
        """Sets a customer's demand and where its callers go.

        Args:
            customer: Its name.
            rate_per_s: Mean requests per second.
            places: Weight of each instance.
        """
        started = customer in self._rates
        self._rates[customer] = rate_per_s
        self._places[customer] = places
        if not started:
            self._plan(customer)

    def send(self, customer: str, instance: str, count: int = 1) -> None:
        """Sends requests to an instance now."""
        for _ in range(count):
            self._request(customer, instance, self._fleet.now)

    def reset(self) -> None:
        """Starts a new measurement."""
        for tally in self.tallies.values():
            tally.reset()

    def _plan(self, customer: str) -> None:
        fleet = self._fleet
        rate = self._rates[customer]
        gap_s = fleet.random.expovariate(rate) if rate > 0 else 1.0
        fleet.at(fleet.now + gap_s, lambda: self._arrive(customer))

    def _arrive(self, customer: str) -> None:
        if self._rates[customer] > 0:
            places = self._places[customer]
            names, weights = list(places), list(places.values())
            name = self._fleet.random.choices(names, weights)[0]
            self._request(customer, name, self._fleet.now)
        self._plan(customer)

    def _request(self, customer: str, name: str, sent_at: float) -> None:
        tally = self.tallies[customer]
        tally.offered += 1
        tally.within_rate += tally.admits.take(sent_at)
        self._try(customer, name, sent_at)

    def _try(self, customer: str, name: str, sent_at: float) -> None:
        fleet = self._fleet
        if fleet.nodes[name].alive:
            tally = self.tallies[customer]
            if self._baseline is not None:
                admitted = self._baseline(name, customer, fleet.now)
                tally.baseline_admitted += admitted
            fleet.offer(
                name,
                customer,
                lambda refusal: self._note(tally, refusal, sent_at),
                self._wait_s,
            )
            return
        names = [n.name for n in fleet.nodes.values() if n.alive]
        if names:
            other = fleet.random.choice(names)
            fleet.at(
                fleet.now + RETRY_S,
                lambda: self._try(customer, other, sent_at),
            )

    def _note(
        self, tally: Tally, refusal: Refusal | None, sent_at: float
    ) -> None:
        now = self._fleet.now
        if refusal is not None:
            tally.refused += 1
            return
        tally.admitted += 1
        tally.waits_s.append(now - sent_at)
        tally.lowest = min(tally.lowest, tally.charged.charge(now))
