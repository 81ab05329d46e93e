"""Checks lookups, selectors and the ranking of regions."""

from __future__ import annotations

import msgspec

from radishmux.config.model import Selector
from radishmux.outcome import NotFound
from radishmux.steer.lookup import INSTANCES_PER_CUSTOMER, Lookup
from radishmux.steer.region import REPORT_AGE_S, RegionChooser, RegionLoad
from radishmux.steer.selector import SelectorTable
from tests.steer.fakes import (
    FakeConfig,
    FakeMembership,
    FakeTickets,
    configuration,
    instances,
)

PUBLIC_IN_KUMASI = Selector(
    name="public",
    customer_labels={"kind": "public"},
    allowed_regions=["kumasi", "unknown", "accra"],
)


def build(selectors=()):
    config = FakeConfig(configuration(selectors))
    membership = FakeMembership(instances())
    lookup = Lookup(
        "accra", config, SelectorTable(config), membership, FakeTickets()
    )
    return config, membership, lookup


def addresses(answer):
    return [instance.address for instance in answer.instances]


def test_first_matching_selector_applies_without_unknown_regions():
    config = FakeConfig(
        configuration(
            [
                PUBLIC_IN_KUMASI,
                Selector(
                    name="far",
                    caller_regions=["tamale"],
                    allowed_regions=["tamale"],
                ),
            ]
        )
    )
    table = SelectorTable(config)
    assert table.allowed_regions("ministry", "poles", "tamale") == (
        "kumasi",
        "accra",
    )
    assert table.allowed_regions("trader", "poles", "tamale") == ("tamale",)
    assert len(table.allowed_regions("trader", "poles", None)) == 3
    config.set(configuration())
    assert len(table.allowed_regions("ministry", "poles", "tamale")) == 3


def test_callers_of_a_customer_use_few_instances_of_their_region():
    _, _, lookup = build()
    firsts = set()
    for step in range(50):
        answer = lookup.answer("trader", "poles", "tamale", step * 0.01)
        assert answer.instances[0].region == "tamale"
        assert answer.ttl_s == 10
        firsts.add(answer.instances[0].address)
    assert len(firsts) == INSTANCES_PER_CUSTOMER


def test_answers_have_distinct_tickets_in_both_forms():
    _, _, lookup = build()
    first = lookup.answer("trader", "poles", None, 1.0)
    body = msgspec.json.decode(lookup.answer_body("trader", "poles", None, 1.0))
    assert body["ticket"] != first.ticket
    assert body["ttl_s"] == 10
    assert {instance["region"] for instance in body["instances"]} >= {"accra"}


def test_leaving_and_dead_instances_are_left_out():
    _, membership, lookup = build()
    leaving = lookup.answer("trader", "poles", "accra", 0.0).instances[0]
    for instance in membership.instances:
        if instance.caller_address == leaving.address:
            membership.leaving.add(instance.instance)
    for step in range(10):
        answer = lookup.answer("trader", "poles", "accra", 1.0 + step)
        assert leaving.address not in addresses(answer)
    membership.instances = [
        instance
        for instance in membership.instances
        if instance.region != "accra"
    ]
    answer = lookup.answer("trader", "poles", "accra", 20.0)
    assert answer.instances
    assert all(instance.region != "accra" for instance in answer.instances)


def test_only_allowed_regions_are_returned_and_unknown_services_not_found():
    _, membership, lookup = build([PUBLIC_IN_KUMASI])
    answer = lookup.answer("ministry", "poles", "tamale", 0.0)
    assert {instance.region for instance in answer.instances} <= {
        "kumasi",
        "accra",
    }
    assert isinstance(lookup.answer("ministry", "missing", None, 0.0), NotFound)
    membership.instances = []
    assert lookup.answer("ministry", "poles", None, 9.0).instances == ()


def test_orders_are_computed_once_per_change():
    config, membership, lookup = build()
    calls = []
    compute_orders = lookup._compute_orders
    lookup._compute_orders = lambda *key: (
        calls.append(key) or compute_orders(*key)
    )
    for step in range(100):
        lookup.answer("trader", "poles", "accra", step * 0.1)
    assert len(calls) == 1
    membership.instances.pop()
    lookup.answer("trader", "poles", "accra", 20.0)
    config.set(configuration())
    lookup.answer("trader", "poles", "accra", 20.0)
    assert len(calls) == 3


class FakeLoads:
    """Fake load reports by region."""

    def __init__(self, **loads):
        self.loads = loads

    def region_load(self, service, region):
        return self.loads.get(region)


def load(free, slots=8):
    return RegionLoad(slots=slots, in_use=slots - free)


def test_own_region_is_first_and_others_are_ranked_by_headroom():
    loads = FakeLoads(accra=load(0), kumasi=load(2), tamale=load(5))
    chooser = RegionChooser("accra", FakeConfig(configuration()), loads)
    regions = ("kumasi", "accra", "tamale")
    assert chooser.order(regions, "poles", 0.0) == (
        "accra",
        "tamale",
        "kumasi",
    )
    for _ in range(4):
        chooser.record_sent("poles", "tamale", 1.0)
    assert chooser.order(regions, "poles", 1.0)[1:] == ("kumasi", "tamale")
    chooser.record_sent("poles", "tamale", 1.0)
    assert chooser.order(regions, "poles", 1.0) == ("accra", "kumasi")
    later = 1.01 + REPORT_AGE_S
    assert chooser.order(regions, "poles", later)[1] == "tamale"


def test_reported_slots_are_limited_to_the_configured_slots():
    loads = FakeLoads(kumasi=RegionLoad(slots=1000, in_use=-50))
    chooser = RegionChooser("accra", FakeConfig(configuration()), loads)
    assert chooser.headroom("poles", "kumasi", 0.0) == 8
    assert chooser.headroom("poles", "tamale", 0.0) == 0
