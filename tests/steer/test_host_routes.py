"""Checks route lookup, customer lookup and the split over destinations."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from radishmux.config.routing import Destination
from radishmux.steer.host_routes import HostRoutes
from radishmux.steer.split import DestinationSplit
from tests.gateway.parts import configuration, customer, route

_PARTS = st.lists(st.sampled_from(["a", "b", "ab", ""]), max_size=4)
_PREFIXES = _PARTS.map(
    lambda parts: "/" + "".join(part + "/" for part in parts)
)


@given(st.sets(_PREFIXES, max_size=6), _PARTS)
def test_longest_prefix_is_found(prefixes, path_parts):
    path = "/" + "/".join(path_parts)
    routes = HostRoutes(
        configuration(
            *(route(name, path_prefix=name) for name in prefixes),
            route("elsewhere", host="other.example"),
        )
    )
    expected = max(
        (prefix for prefix in prefixes if path.startswith(prefix)),
        key=len,
        default=None,
    )
    found = routes.find("h.example", path)
    assert (found and found.name) == expected


def test_key_belongs_to_its_customer():
    routes = HostRoutes(configuration(customers=(customer("c", keys=("k",)),)))
    assert routes.customer_of("k").name == "c"
    assert routes.customer_of("other") is None


@given(
    st.lists(st.integers(1, 50), min_size=1, max_size=4), st.integers(1, 300)
)
def test_split_is_exact_to_one_request(weights, requests):
    split = DestinationSplit()
    split_route = route(
        destinations=tuple(
            Destination(service=str(number), weight=weight)
            for number, weight in enumerate(weights)
        )
    )
    counts = dict.fromkeys(map(str, range(len(weights))), 0)
    for _ in range(requests):
        counts[split.choose(split_route)] += 1
    for number, weight in enumerate(weights):
        share = requests * weight / sum(weights)
        assert abs(counts[str(number)] - share) <= 1.0


def test_changed_destinations_reset_the_split():
    split = DestinationSplit()
    old = route(destinations=(Destination(service="a", weight=1.0),))
    both = (
        Destination(service="a", weight=1.0),
        Destination(service="b", weight=1.0),
    )
    assert split.choose(old) == "a"
    chosen = [split.choose(route(destinations=both)) for _ in range(10)]
    assert chosen.count("b") == 5
