"""I2 for links: traffic between regions stays within the link capacity."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.config.model import Configuration, Link, Region
from radishmux.config.state import ConfigState
from radishmux.instances.interface import Instance
from radishmux.steer.links import BURST_S, LinkBudgets

CAPACITY_BITS = 8_000_000.0  # 1 MB/s.
LARGEST = 300_000


def _instance(name: str) -> Instance:
    return Instance(
        instance=name,
        region="accra",
        failure_domain="accra-a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        control_address="127.0.0.1:3",
    )


class _Members:
    def __init__(self, count: int) -> None:
        self.count = count

    def live(self, region=None):
        return tuple(_instance(f"accra-{n}") for n in range(self.count))


def _config() -> ConfigState:
    link = Link(to_region="kumasi", bits_per_s=CAPACITY_BITS)
    reverse_link = Link(to_region="accra", bits_per_s=CAPACITY_BITS)
    return ConfigState(
        Configuration(
            version=1,
            regions=[
                Region(name="accra", failure_domains=["a"], links=[link]),
                Region(
                    name="kumasi", failure_domains=["k"], links=[reverse_link]
                ),
            ],
        )
    )


_STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 0.4),
        st.integers(0, 2),
        st.integers(1, LARGEST),
        st.integers(0, LARGEST),
    ),
    max_size=120,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(_STEPS)
def test_all_instances_together_stay_within_the_link(steps):
    """Compares with a central count of the bytes on the link."""
    members = _Members(3)
    config = _config()
    instances = [LinkBudgets("accra", config, members, 0.0) for _ in range(3)]
    now = 0.0
    sent: list[tuple[float, int]] = []
    received: list[tuple[float, int]] = []
    for wait_s, index, request, response in steps:
        now += wait_s
        budgets = instances[index]
        if budgets.has_room("kumasi", now):
            budgets.record_request("kumasi", request, now)
            budgets.record_response("kumasi", response, now)
            sent.append((now, request))
            received.append((now, response))
    for series in (sent, received):
        _check_every_interval(series)


def _check_every_interval(series: list[tuple[float, int]]) -> None:
    bytes_per_s = CAPACITY_BITS / 8 / 2
    slack = bytes_per_s * BURST_S + 3 * LARGEST
    for first in range(len(series)):
        total = 0
        for at, count in series[first:]:
            total += count
            length_s = at - series[first][0]
            assert total <= bytes_per_s * length_s + slack


def test_a_region_without_a_link_is_not_limited():
    budgets = LinkBudgets("accra", _config(), _Members(1), 0.0)
    budgets.record_request("tamale", 10**9, 0.0)
    assert budgets.has_room("tamale", 0.0)


def test_steady_overload_uses_the_link_rate_over_all_instances():
    members = _Members(3)
    config = _config()
    instances = [LinkBudgets("accra", config, members, 0.0) for _ in range(3)]
    sent = 0
    for step in range(4_000):
        now = step * 0.01
        for budgets in instances:
            if budgets.has_room("kumasi", now):
                budgets.record_request("kumasi", 20_000, now)
                sent += 20_000
    wanted = CAPACITY_BITS / 8 / 2 * 40.0
    assert 0.95 * wanted <= sent <= wanted * (1 + BURST_S / 40.0) + 60_000


def test_fewer_instances_get_larger_shares_of_the_link():
    members = _Members(2)
    budgets = LinkBudgets("accra", _config(), members, 0.0)
    assert budgets.has_room("kumasi", 10.0)  # Burst of a link without traffic.
    budgets.record_request("kumasi", 162_500, 10.0)
    # 100 KB beyond the burst of 62.5 KB are owed. Half of 500 KB/s repays less
    # than that by then; the whole of it repays the rest within 50 ms.
    assert not budgets.has_room("kumasi", 10.24)
    members.count = 1
    assert not budgets.has_room("kumasi", 10.30)
    assert budgets.has_room("kumasi", 10.40)
