"""Division of customers' rates among holders whose reports are delayed."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishmux.gateway.reports import RELAYED_REPORT_LAG
from radishmux.share.division import RegionVisibility
from radishmux.share.fleet_rate import HOLD_S, FleetRates
from radishmux.share.holding import MovedHolding
from tests.gateway.parts import customer

REPORT_S = 0.5


class Fleet:
    """Token holders of regions that exchange reports with a delay.

    Args:
        count: Number of regions.
        terms: The customer.
        slack: Requests by which the customer may exceed its rate and burst.
        lag: Number of reports after which a holder assumes that other regions
            know of growth.
        delay_s: Delay with which the reports arrive.
    """

    def __init__(self, count, terms, slack=20.0, lag=1, delay_s=0.0):
        self.terms = terms
        self.now = 0.0
        self.delay_s = delay_s
        self.reports_in_flight = []
        self.nodes = {f"i{n}": FleetRates(0.1, slack) for n in range(count)}
        for name, node in self.nodes.items():
            node.set_regions(set(self.nodes) - {name}, lag, 0.0)
            node.set_customers((terms,), 0.0)
            node.set_assigned_customers(frozenset({terms.name}))

    def exchange(self):
        reports = {
            name: node.measure_demand(self.now)
            for name, node in self.nodes.items()
        }
        self.reports_in_flight.append((self.now + self.delay_s, reports))
        while (
            self.reports_in_flight and self.reports_in_flight[0][0] <= self.now
        ):
            _, arrived = self.reports_in_flight.pop(0)
            self._deliver(arrived)

    def _deliver(self, reports):
        for name, node in self.nodes.items():
            for other, report in reports.items():
                if other != name:
                    node.update_region_demand(other, report, self.now)

    def run(self, seconds, demand, rng):
        """Sends requests for some time.

        Args:
            seconds: Duration.
            demand: Mean requests per second by instance.
            rng: Random number generator of the arrivals.

        Returns:
            Times of the admitted requests.
        """
        admitted = []
        end = self.now + seconds
        next_report = self.now
        step = 0.01
        while self.now < end:
            if self.now >= next_report:
                self.exchange()
                next_report += REPORT_S
            for name, rate in demand.items():
                if rng.random() < rate * step and self.nodes[name].take_tokens(
                    self.terms.name, 1, 1, self.now
                ):
                    admitted.append(self.now)
            self.now += step
        return admitted


def most_in_window(times, window_s):
    most = start = 0
    for end, at in enumerate(times):
        while at - times[start] > window_s:
            start += 1
        most = max(most, end - start + 1)
    return most


def allowed(terms, window_s=5.0, overrun=0.1, slack=20.0):
    """Returns how many requests may be admitted in a window."""
    return (terms.rate_per_s * window_s + terms.burst) * (1 + overrun) + slack


def test_customer_that_sends_many_times_its_rate_is_held_to_it():
    """Demand grows at all instances at once."""
    terms = customer(rate_per_s=100.0, burst=100.0)
    fleet = Fleet(10, terms)
    rng = random.Random(1)
    normal = dict.fromkeys(fleet.nodes, 6.0)
    overload = dict.fromkeys(fleet.nodes, 75.0)
    times = fleet.run(10.0, normal, rng)
    times += fleet.run(10.0, overload, rng)
    assert most_in_window(times, 5.0) <= allowed(terms)


@pytest.mark.parametrize("seed", range(5))
def test_customer_is_held_to_its_rate_when_hubs_relay_reports(seed):
    """Demand grows everywhere at once and reports take two seconds."""
    terms = customer(rate_per_s=172.0, burst=172.0)
    fleet = Fleet(3, terms, lag=RELAYED_REPORT_LAG, delay_s=2.0)
    rng = random.Random(seed)
    normal = dict.fromkeys(fleet.nodes, 36.0)
    overload = dict.fromkeys(fleet.nodes, 36.0 * 4.4)
    times = fleet.run(8.0, normal, rng)
    times += fleet.run(8.0, overload, rng)
    assert most_in_window(times, 5.0) <= allowed(terms)


def test_demand_that_moves_between_instances_is_held_to_the_rate():
    """Callers move from one failure domain to another every two seconds."""
    terms = customer(rate_per_s=60.0, burst=60.0)
    fleet = Fleet(6, terms)
    rng = random.Random(2)
    times = []
    for turn in range(6):
        demand = dict.fromkeys(fleet.nodes, 1.0)
        demand[f"i{turn}"] = 200.0
        times += fleet.run(2.0, demand, rng)
    assert most_in_window(times, 5.0) <= allowed(terms)


def test_skewed_demand_below_the_rate_is_admitted():
    terms = customer(rate_per_s=60.0, burst=60.0)
    fleet = Fleet(10, terms)
    demand = dict.fromkeys(fleet.nodes, 0.5) | {"i3": 30.0}
    fleet.run(5.0, demand, random.Random(3))
    counted = fleet.run(10.0, demand, random.Random(4))
    wanted = 10.0 * sum(demand.values())
    assert len(counted) >= 0.95 * wanted


def test_isolated_instance_uses_an_even_part_and_none_without_a_lease():
    """The others leave that part to it while its record is in the store."""
    terms = customer(rate_per_s=100.0, burst=100.0)
    node = Fleet(3, terms).nodes["i0"]
    node.measure_demand(0.0)
    node.set_region_visibility(RegionVisibility(heard=1, registered=4), 0.0)
    assert node.fraction("c") == pytest.approx(1 / 12)
    node.set_entitled(False, 0.0)
    assert node.fraction("c") == 0.0


def test_both_sides_of_a_cut_region_share_its_part():
    """Neither side receives reports of the other side's holder.

    If each used the whole part of the region, it would be granted twice.
    """
    terms = customer(rate_per_s=100.0, burst=100.0)
    sides = [Fleet(3, terms).nodes["i0"] for _ in range(2)]
    for node, heard in zip(sides, (3, 1), strict=True):
        node.measure_demand(0.0)
        node.set_region_visibility(RegionVisibility(heard, registered=4), 0.0)
    assert sum(node.fraction("c") for node in sides) <= 1 / 3 + 1e-9


@given(st.floats(0.0, 50.0), st.integers(1, 30))
def test_tokens_that_are_taken_leave_the_bucket(tokens, wanted):
    """A lost message then loses tokens and never creates any."""
    terms = customer(rate_per_s=10.0, burst=1000.0)
    node = Fleet(2, terms).nodes["i0"]
    node.measure_demand(0.0)
    bucket = node._buckets["c"].bucket
    bucket.remove_tokens(1000.0, 0.0)
    bucket.add_tokens(tokens, 0.0)
    taken = node.take_tokens("c", wanted, wanted, 0.0)
    assert taken <= wanted
    assert taken + bucket.tokens <= tokens + 1e-6
    assert bucket.tokens >= 0.0


def test_customer_is_held_to_its_rate_when_all_instances_restart():
    """All instances restart three times while the customer exceeds its rate."""
    terms = customer(rate_per_s=100.0, burst=100.0)
    rng = random.Random(5)
    fleet = Fleet(10, terms)
    demand = dict.fromkeys(fleet.nodes, 30.0)
    times = fleet.run(6.0, demand, rng)
    for _ in range(3):
        restarted = Fleet(10, terms)
        restarted.now = fleet.now + 1.0
        for node in restarted.nodes.values():
            node._buckets["c"].bucket.advance(restarted.now)
            node._buckets["c"].bucket.remove_tokens(1000.0, restarted.now)
        fleet = restarted
        times += fleet.run(4.0, demand, rng)
    assert most_in_window(times, 5.0) <= allowed(terms)


def test_replaced_holder_gives_up_its_part():
    """Otherwise two holders of one region would grant its part twice."""
    terms = customer(rate_per_s=100.0, burst=100.0)
    node = Fleet(3, terms).nodes["i0"]
    node.measure_demand(0.0)
    assert node.fraction("c") > 0.0
    node.set_assigned_customers(frozenset())
    node.measure_demand(0.5)
    node.measure_demand(0.5 + HOLD_S + 0.1)
    assert node.fraction("c") == 0.0


def test_instance_that_is_asked_in_place_of_the_holder_grants_tokens():
    """The holder is dead, and not all instances have detected it yet."""
    terms = customer(rate_per_s=100.0, burst=100.0)
    node = Fleet(3, terms).nodes["i0"]
    node.set_assigned_customers(frozenset())
    node.measure_demand(0.0)
    # The dead holder may have granted the whole burst already.
    assert node.take_tokens("c", 1, 200, 10.0) == 0
    granted = sum(
        node.take_tokens("c", 1, 1, 10.0 + n / 400) for n in range(200)
    )
    assert 1 <= granted <= 0.5 * 1.1 * 100.0 / 3


def test_tokens_are_prefetched_only_from_above_the_reserve():
    """Prefetched tokens wait at other instances, on top of the burst."""
    terms = customer(rate_per_s=100.0, burst=100.0)
    node = Fleet(1, terms).nodes["i0"]
    node.measure_demand(0.0)
    bucket = node._buckets["c"].bucket
    bucket.add_tokens(1000.0, 0.0)
    assert node.take_tokens("c", 1, 8, 0.0) == 8
    bucket.remove_tokens(0.6 * bucket.capacity, 0.0)
    assert node.take_tokens("c", 1, 8, 0.0) == 1


def test_region_whose_demand_is_unknown_counts_like_the_own_region():
    terms = customer(rate_per_s=60.0, burst=60.0)
    node = Fleet(3, terms).nodes["i0"]
    for second in range(4):
        for _ in range(30):
            node.take_tokens("c", 1, 1, float(second))
        node.measure_demand(float(second))
    assert node.fraction("c") <= 1 / 3 + 1e-9


def test_next_holder_continues_with_tokens_and_demand_of_the_previous_one():
    """Neither counts twice, and the part of the region stays the same."""
    terms = customer(rate_per_s=100.0, burst=100.0)
    fleet = Fleet(3, terms)
    fleet.run(6.0, dict.fromkeys(fleet.nodes, 60.0), random.Random(6))
    previous, now = fleet.nodes["i0"], fleet.now
    fraction = previous.fraction("c")
    successor = Fleet(3, terms).nodes["i0"]
    for name in ("i1", "i2"):
        successor.update_region_demand(
            name, fleet.nodes[name].measure_demand(now), now
        )
    moved = previous.release_holding("c", now)
    successor.take_over(moved, now)
    assert successor.fraction("c") == pytest.approx(fraction, rel=0.05)
    taken = successor.take_tokens("c", 1000, 1000, now)
    assert moved.tokens - 1 < taken <= moved.tokens
    assert previous.fraction("c") == 0.0
    assert previous.release_holding("c", now) is None


# A holding was lost, with its tokens and demand, when it was released to an
# instance that had just started and had not read the customers yet.
def test_holding_that_arrives_before_its_customer_is_configured_is_kept():
    terms = customer(rate_per_s=100.0, burst=100.0)
    node = FleetRates(0.1, 20.0)
    moved = MovedHolding(terms.name, "before", 40.0, 30.0, 30.0)
    node.take_over(moved, 0.0)
    node.set_customers((terms,), 0.2)
    assert node.take_tokens(terms.name, 40, 40, 0.2) == 40
    assert node.demand_per_s(terms.name, 0.2) >= 30.0


def test_holding_that_has_waited_too_long_for_its_customer_is_not_used():
    terms = customer(rate_per_s=100.0, burst=100.0)
    node = FleetRates(0.1, 20.0)
    moved = MovedHolding(terms.name, "before", 40.0, 30.0, 30.0)
    node.take_over(moved, 0.0)
    node.set_customers((terms,), HOLD_S + 0.1)
    assert not node.is_held(terms.name)
