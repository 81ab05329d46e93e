"""No customer exceeds its rate and burst across all instances.

This is invariant I4 of the design. The real membership, roster and share code
runs in virtual time through generated sequences of kills, suspended processes,
partitions, store outages, lost responses, restarts and rate changes. Each
admission is charged to one central bucket.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from bench.share_workload import Workload
from bench.virtual_fleet import VirtualFleet
from radishmux.config.model import Customer
from radishmux.membership.roster_document import TOTAL_WEIGHT

ROUNDING = 1e-6
REGIONS = ("r0", "r1", "r2")


class CheckedFleet:
    """A fleet under load that checks the invariants as it runs."""

    def __init__(self, fleet, size):
        self.fleet = fleet
        self.size = size
        fleet.on_write = self.check_weights
        for index in range(size):
            fleet.add(f"i{index}", REGIONS[index % 3])
        self.work = Workload(fleet)
        # Instances that have not applied a rate change yet.
        self.lagging = {}
        self.joined = 0

    def check_weights(self, roster):
        assert roster.assigned <= TOTAL_WEIGHT
        names = [entry.instance for entry in roster.entries]
        assert len(names) == len(set(names))

    def usable(self):
        """Yields the instances that would admit a request now."""
        for node in self.fleet.nodes.values():
            if node.alive and (
                node.book.weight == 0 or node.keeper.in_force(node.now())
            ):
                yield node

    def check_shares(self):
        for name, tally in self.work.tallies.items():
            fraction = tokens = 0.0
            for node in self.usable():
                share = node.book.get(name)
                if share is not None:
                    share.expire_loans(node.now())
                    share.bucket.advance(node.now())
                    fraction += share.bucket.fraction
                    tokens += share.bucket.tokens
            grants = self.fleet.grants_in_flight.values()
            tokens += sum(
                grant[1]
                for grant in grants
                if grant[0] == name and grant[2] > self.fleet.now
            )
            assert fraction <= 1 + ROUNDING, (
                f"{name}: fractions add up to {fraction}"
            )
            assert tokens <= tally.charged.burst + ROUNDING, (
                f"{name}: {tokens} tokens in the fleet"
            )

    def check_rate(self):
        for name, tally in self.work.tallies.items():
            assert tally.lowest >= -ROUNDING, (
                f"{name}: {-tally.lowest} requests above rate x t + burst"
            )

    def run(self, seconds):
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.run(min(until, self.fleet.now + 0.5))
            self.check_shares()
            self.check_rate()

    def overload(self):
        """Makes the demand at every instance exceed its share."""
        for name, customer in self.fleet.customers.items():
            places = {node: 1.0 + 3.0 * (node == "i0") for node in self.nodes}
            self.work.demand(name, 3.0 * customer.rate_per_s, places)

    @property
    def nodes(self):
        return list(self.fleet.nodes)

    # Steps of the generated sequences.

    def freeze(self, index, seconds):
        self.fleet.freeze(self.nodes[index % len(self.nodes)], seconds)

    def kill(self, index, seconds):
        name = self.nodes[index % len(self.nodes)]
        self.fleet.kill(name)
        self.fleet.at(
            self.fleet.now + seconds,
            lambda: (
                None
                if self.fleet.nodes[name].alive
                else self.fleet.restart(name)
            ),
        )

    def join(self, index, seconds):
        if len(self.nodes) < self.size + 2:
            self.fleet.add(f"n{len(self.nodes)}", REGIONS[index % 3])
            self.overload()

    def partition(self, index, seconds):
        """Cuts the instances whose bit is set in `index` from the others.

        If the lowest bit is set, only these instances reach the store.
        """
        side = {name for i, name in enumerate(self.nodes) if index >> i & 1}
        if index & 1:
            side.add("store")
        self.fleet.cut = lambda a, b: (a in side) != (b in side)
        self.fleet.at(self.fleet.now + seconds, self.heal)

    def isolate_existing(self, index, seconds):
        """Makes the store reachable only for instances that join later."""
        existing = set(self.nodes)
        self.fleet.cut = lambda a, b: (a in existing) != (b in existing)
        self.fleet.at(self.fleet.now + seconds, self.heal)

    def heal(self):
        self.fleet.cut = lambda a, b: False

    def store_outage(self, index, seconds):
        self.fleet.store_up = False
        self.fleet.at(
            self.fleet.now + seconds,
            lambda: setattr(self.fleet, "store_up", True),
        )

    def lossy(self, index, seconds):
        self.fleet.loss = 0.05 * (index % 5)
        self.fleet.slowness_s = (0.0, 0.3, 0.9)[index % 3]
        self.fleet.duplication = 0.1 * (index % 3)
        self.fleet.store_loss = 0.1 * (index % 5)

    def skew(self, index, seconds):
        for name, customer in self.fleet.customers.items():
            hot = self.nodes[index % len(self.nodes)]
            places = {n: 90.0 if n == hot else 1.0 for n in self.nodes}
            self.work.demand(name, 1.5 * customer.rate_per_s, places)

    def change_rate(self, index, seconds):
        """Changes the first customer; instances apply it one by one."""
        if self.lagging:
            return
        fleet = self.fleet
        name, old = next(iter(fleet.customers.items()))
        new = Customer(
            name=name,
            rate_per_s=(5, 20, 60)[index % 3],
            burst=(8, 40, 25)[index % 3],
        )
        fleet.customers[name] = new
        charged = self.work.tallies[name].charged
        # Until all instances have applied it, the larger of the two rates and
        # bursts is in force somewhere.
        charged.set_rate(
            max(old.rate_per_s, new.rate_per_s),
            max(old.burst, new.burst),
            fleet.now,
        )
        self.lagging = dict.fromkeys(self.nodes)
        for node in self.nodes:
            delay_s = 3.0 * fleet.random.random()
            fleet.at(fleet.now + delay_s, lambda n=node: self.apply_rate(n))

    def apply_rate(self, name):
        node = self.fleet.nodes[name]
        if node.alive and node.frozen:
            self.fleet.at(self.fleet.now + 1.0, lambda: self.apply_rate(name))
            return
        self.fleet.set_customers(name)
        self.lagging.pop(name, None)
        if not self.lagging:
            self.fleet.at(self.fleet.now + 0.01, self.finish_rate_change)

    def finish_rate_change(self):
        name, new = next(iter(self.fleet.customers.items()))
        charged = self.work.tallies[name].charged
        charged.set_rate(new.rate_per_s, new.burst, self.fleet.now)


STEPS = (
    "freeze",
    "kill",
    "join",
    "partition",
    "isolate_existing",
    "store_outage",
    "lossy",
    "skew",
    "change_rate",
)
CUSTOMERS = [
    Customer(name="large", rate_per_s=20, burst=40),
    Customer(name="small", rate_per_s=5, burst=6),
]
steps = st.lists(
    st.tuples(
        st.sampled_from(STEPS),
        st.integers(0, 63),
        st.sampled_from((0.7, 2.5, 6.0, 12.0, 25.0)),
        st.sampled_from((0.1, 1.5, 4.0, 9.0)),
    ),
    min_size=2,
    max_size=9,
)


def run_sequence(fleet_seed, size, sequence):
    print(f"fleet seed {fleet_seed}, {size} instances, {sequence}")
    with VirtualFleet(fleet_seed, list(CUSTOMERS)) as fleet:
        checked = CheckedFleet(fleet, size)
        checked.run(8.0)
        checked.overload()
        for step, index, seconds, pause in sequence:
            getattr(checked, step)(index, seconds)
            checked.run(pause)
        checked.run(20.0)


@seed(20260101)
@settings(
    max_examples=25,
    deadline=None,
    derandomize=False,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 2**31), st.integers(2, 5), steps)
@pytest.mark.timeout(280)
def test_fleet_never_admits_more_than_one_central_bucket(
    fleet_seed, size, sequence
):
    run_sequence(fleet_seed, size, sequence)


SCENARIOS = {
    # A suspended instance still counts on its share when it resumes.
    "frozen past its lease": [
        ("freeze", 1, 25.0, 24.0),
        ("freeze", 2, 12.0, 14.0),
    ],
    # The lender dies while the borrower has its fraction.
    "lender dies": [
        ("skew", 0, 0.0, 5.0),
        ("kill", 1, 25.0, 4.0),
        ("kill", 2, 25.0, 4.0),
    ],
    # Both sides continue through an outage, then one of them reaches the store
    # again.
    "partition in an outage": [
        ("store_outage", 0, 25.0, 24.0),
        ("partition", 7, 25.0, 25.0),
    ],
    # Three of five instances continue through an outage while the two others
    # are cut off together with the store.
    "outage ends behind a partition": [
        ("partition", 57, 60.0, 45.0),
    ],
    # The old instances hear each other and have a roster without the new ones.
    # They must not lose their shares to the new ones.
    "only new instances reach the store": [
        ("isolate_existing", 0, 60.0, 0.1),
        ("join", 0, 0.0, 0.1),
        ("join", 1, 0.0, 45.0),
    ],
    "late messages": [
        ("lossy", 7, 0.0, 0.1),
        ("skew", 0, 0.0, 9.0),
        ("skew", 1, 0.0, 9.0),
        ("freeze", 1, 1.5, 4.0),
    ],
    # Loans keep ending, shrinking and being lent on.
    "demand moves between instances": [
        ("skew", 0, 0.0, 9.0),
        ("skew", 1, 0.0, 9.0),
        ("skew", 2, 0.0, 4.0),
    ],
    "store responses lost": [
        ("lossy", 4, 0.0, 4.0),
        ("kill", 3, 2.5, 9.0),
        ("join", 0, 0.0, 9.0),
        ("freeze", 2, 12.0, 9.0),
    ],
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_known_dangerous_sequences_keep_the_rate(name):
    for fleet_seed in range(3):
        run_sequence(fleet_seed, 5, SCENARIOS[name])
