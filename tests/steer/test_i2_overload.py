"""I2: no decision overloads a region or a link.

In virtual time, entry instances with real region choosers and link budgets send
requests to the real cell pool of each region. Load reports are late or wrong,
servers fail, a region is lost, and requests that move to another region run
slowly on cold caches. The naive model counts free slots by the reports alone.
"""

from __future__ import annotations

import random

import hypothesis.strategies as st
from hypothesis import given, settings

from radishmux.dispatch.pool import CellPool
from radishmux.steer.links import BURST_S, LinkBudgets, LinkLimitedRegions
from radishmux.steer.region import REPORT_AGE_S, RegionChooser, RegionLoad
from tests.steer.fakes import (
    REGIONS,
    FakeConfig,
    FakeMembership,
    configuration,
    instances,
)

STEP_S = 0.05
SERVICE_S = 0.2
COLD_SERVICE_S = 1.5
LINK_BYTES_PER_S = 280e6 / 8
MAX_BYTES = 4_000_000


class Reports:
    """Load reports that one instance has received, by region."""

    def __init__(self):
        self.loads = {}

    def region_load(self, service, region):
        return self.loads.get(region)


class Sender:
    """An entry instance with its region chooser and link budgets."""

    def __init__(self, instance, config, membership):
        self.region = instance.region
        self.reports = Reports()
        self.links = LinkBudgets(self.region, config, membership, 0.0)
        self.chooser = RegionChooser(self.region, config, self.reports)
        self.regions = LinkLimitedRegions(self.region, self.chooser, self.links)
        self.sent_at = {}


class Fleet:
    """Three regions with three instances and one cell each."""

    def __init__(self, seed, largest=20_000):
        self.random = random.Random(seed)
        self.largest = largest
        self.config = FakeConfig(configuration(slots=3))
        membership = FakeMembership(instances())
        self.senders = [Sender(i, self.config, membership) for i in instances()]
        self.pools = {region: CellPool(region) for region in REGIONS}
        for region, pool in self.pools.items():
            servers = self.config.current.backend_servers
            pool.set_servers(tuple(s for s in servers if s.region == region))
            for backend in pool.backends:
                backend.apply_probe("ready", 0, 0, False)
        self.lost = set()
        self.healthy = {
            backend.server.name
            for pool in self.pools.values()
            for backend in pool.backends
        }
        self.running = []
        self.link_bytes = {}
        self.now = 0.0
        self.cold_until = 0.0
        # The first check creates the link budgets, with a full burst.
        for sender in self.senders:
            for region in REGIONS:
                sender.links.has_room(region, 0.0)
        self.wait(10)

    def report(self, wrong):
        """Delivers load reports of all regions to all instances."""
        for region, pool in self.pools.items():
            load = pool.load()
            true_load = RegionLoad(
                slots=load.slots, in_use=load.in_use, queued=load.queued
            )
            wrong_load = RegionLoad(
                slots=self.random.choice((0, 3, 1000)),
                in_use=self.random.choice((-50, 0, 3)),
            )
            for sender in self.senders:
                if region in self.lost:
                    sender.reports.loads.pop(region, None)
                else:
                    sender.reports.loads[region] = (
                        wrong_load if wrong else true_load
                    )

    def arrive(self, index, count):
        """Sends a burst of requests through one instance."""
        sender = self.senders[index]
        for _ in range(count):
            self.send(sender)

    def send(self, sender):
        for region in sender.regions.order(REGIONS, "poles", self.now):
            if region in self.lost and region != sender.region:
                assert region in sender.reports.loads, "sent to a lost region"
            if region != sender.region:
                self.count_sent(sender, region)
            if region not in self.lost and self.admit(region):
                return

    def count_sent(self, sender, region):
        size = self.random.randrange(1000, self.largest)
        sender.links.record_request(region, size, self.now)
        sender.links.record_response(region, 1000, self.now)
        key = (sender.region, region)
        self.link_bytes.setdefault(key, []).append((self.now, size))
        sender.chooser.record_sent("poles", region, self.now)
        times = sender.sent_at.setdefault(region, [])
        times.append(self.now)
        recent = [t for t in times if t > self.now - REPORT_AGE_S]
        # A wrong report must not raise this above the configured slots.
        assert len(recent) <= 6, "more requests than the region's slots"

    def admit(self, region):
        backend = self.pools[region].try_acquire("v1")
        if backend is None:
            return False
        assert backend.server.name in self.healthy, "sent to a failed server"
        cold = self.now < self.cold_until
        ends = self.now + (COLD_SERVICE_S if cold else SERVICE_S)
        self.running.append((ends, region, backend))
        self.check()
        return True

    def check(self):
        for region, pool in self.pools.items():
            slots = sum(b.server.slots for b in pool.backends)
            assert pool.in_use <= slots, f"{region} is overloaded"
            for backend in pool.backends:
                assert backend.in_use <= backend.server.slots

    def wait(self, steps):
        for _ in range(steps):
            self.now += STEP_S
            ended = [r for r in self.running if r[0] <= self.now]
            self.running = [r for r in self.running if r[0] > self.now]
            for _, region, backend in ended:
                self.pools[region].release(backend)

    def fail_server(self, index):
        backends = [b for p in self.pools.values() for b in p.backends]
        backend = backends[index % len(backends)]
        backend.mark_down()
        self.healthy.discard(backend.server.name)

    def lose_region(self, index):
        """Makes a region fail; others serve its callers with cold caches.

        Instances detect the failure when the next report is missing.
        """
        if not self.lost:
            self.lost.add(REGIONS[index % 3])
            self.cold_until = self.now + 3.0

    def check_links(self):
        """Checks the bytes in every interval between two messages."""
        for sent in self.link_bytes.values():
            for first in range(len(sent)):
                total = 0
                for at, size in sent[first:]:
                    total += size
                    # Half of the link is for requests. Each of the three
                    # senders may exceed its budget by one message.
                    rate = LINK_BYTES_PER_S / 2
                    length_s = at - sent[first][0]
                    allowed = rate * (length_s + BURST_S) + 3 * MAX_BYTES
                    assert total <= allowed, "link overloaded"


actions = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 8), st.integers(1, 12)),
    st.tuples(st.just("report"), st.booleans()),
    st.tuples(st.just("wait"), st.integers(1, 12)),
    st.tuples(st.just("fail_server"), st.integers(0, 5)),
    st.tuples(st.just("lose_region"), st.integers(0, 2)),
)


@settings(max_examples=200, deadline=None)
@given(
    st.integers(0, 2**32),
    st.sampled_from((20_000, MAX_BYTES)),
    st.lists(actions, min_size=5, max_size=60),
)
def test_no_sequence_of_events_overloads_a_region_or_link(
    seed, largest, sequence
):
    fleet = Fleet(seed, largest)
    fleet.report(False)
    for action, *arguments in sequence:
        getattr(fleet, action)(*arguments)
    fleet.check_links()


def test_nothing_is_sent_to_a_lost_region_after_the_next_report():
    """Fails if a region without a report counts as free."""
    fleet = Fleet(1)
    fleet.report(False)
    fleet.lose_region(1)
    fleet.report(False)
    for sender in fleet.senders:
        order = sender.regions.order(REGIONS, "poles", fleet.now)
        others = [region for region in order if region != sender.region]
        assert REGIONS[1] not in others


def test_requests_sent_since_the_last_report_are_subtracted():
    """Fails if requests sent since the report are not subtracted."""
    fleet = Fleet(2)
    fleet.report(False)
    fleet.arrive(0, 100)
    sent = fleet.senders[0].sent_at
    assert sent
    assert sum(map(len, sent.values())) <= 12


def test_wrong_report_does_not_exceed_the_configured_slots():
    """Fails if reported slots are not limited to the configured slots."""
    fleet = Fleet(5)
    for sender in fleet.senders:
        for region in REGIONS:
            sender.reports.loads[region] = RegionLoad(slots=1000, in_use=-50)
    fleet.arrive(0, 200)
    assert fleet.senders[0].sent_at


def test_link_budget_limits_a_stream_of_large_requests():
    """Fails without the link budget."""
    fleet = Fleet(3, MAX_BYTES)
    for _ in range(400):
        fleet.report(False)
        for index in range(3):
            fleet.arrive(index, 3)
        fleet.wait(1)
    assert fleet.link_bytes
    fleet.check_links()


def test_counting_by_reports_alone_overloads():
    """Shows that counting free slots by the last report alone overloads."""
    fleet = Fleet(4)
    fleet.report(False)
    admitted = 0
    for sender in fleet.senders:
        load = sender.reports.region_load("poles", REGIONS[0])
        admitted += load.slots - load.in_use
    assert admitted > sum(b.server.slots for b in fleet.pools["accra"].backends)
