"""Proof of I3: requests run only for the customer whose key they carry.

Differential: generated sequences of grants, revocations, store reads,
outages and requests go to the real check and to a naive one that hashes the
key for every customer and knows every moment at which a key was in force.
"""

from __future__ import annotations

import hashlib

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from radishmux.config.model import Configuration, Customer, Route
from radishmux.config.state import ConfigState
from radishmux.keys import check as keys_check
from radishmux.keys.check import KeyCheck, key_digest
from radishmux.verdict import Refusal, Verdict
from tests.fakes import FakeMembership, FakeMetrics, instance

_SEED = 5_003
_KEYED = Route(name="all")
_PUBLIC = Route(name="status", open_to_all=True)
_KEYS = ["k0", "k1", "k2", "k3", "kö", "k0 "]
_REVOCATION_BOUND_S = 5.0


class _Fleet:
    """The store's truth and one instance's knowledge of it."""

    def __init__(self) -> None:
        self.now = 100.0
        self.truth = Configuration()
        self.accepted: list[tuple[float, Configuration]] = [(0.0, self.truth)]
        self.state = ConfigState()
        self.member = FakeMembership(
            instance("a"), [instance("b"), instance("c", "kumasi")]
        )
        self.check = KeyCheck(self.state, self.member, FakeMetrics())

    def change(self, customer: int, keys: set[int]) -> None:
        """Sets a customer's keys; a key has at most one customer."""
        by_name = {one.name: one for one in self.truth.customers}
        digests = {key_digest(_KEYS[key]) for key in keys}
        by_name = {
            name: Customer(
                name=name,
                rate_per_s=1,
                burst=1,
                key_digests=[d for d in one.key_digests if d not in digests],
            )
            for name, one in by_name.items()
        }
        by_name[f"c{customer}"] = Customer(
            name=f"c{customer}",
            rate_per_s=1,
            burst=1,
            key_digests=sorted(digests),
        )
        self.truth = Configuration(
            version=self.truth.version + 1, customers=list(by_name.values())
        )
        self.accepted.append((self.now, self.truth))
        # A write ends an outage for all, as members notice within the time
        # for which the check keeps the predicate. An isolated instance that
        # last read the roster before the others joined does not notice.
        self.member.out_for_all = bool(self.member.silent)
        self.now += 0.125

    def read(self) -> None:
        self.state.apply(self.truth)
        self.member.record_store_contact(self.now)

    def owners_since(self, key: str, since: float) -> set[str | None]:
        """Customers of a key at any moment from `since` on."""
        configurations = [c for at, c in self.accepted if at > since]
        before = [c for at, c in self.accepted if at <= since]
        return {_naive_owner(one, key) for one in [before[-1], *configurations]}


def _naive_owner(configuration: Configuration, key: str) -> str | None:
    digest = hashlib.sha256(key.encode()).hexdigest()
    for customer in configuration.customers:
        for known in customer.key_digests:
            if known == digest:
                return customer.name
    return None


_steps = st.one_of(
    st.tuples(st.just("change"), st.integers(0, 2), st.sets(st.integers(0, 4))),
    st.tuples(st.just("read")),
    st.tuples(st.just("offer")),
    st.tuples(st.just("wait"), st.floats(0.0, 3.0)),
    st.tuples(st.just("store_out"), st.booleans()),
    st.tuples(st.just("isolate"), st.booleans()),
    st.tuples(st.just("request"), st.integers(0, len(_KEYS) - 1)),
    st.tuples(st.just("request"), st.integers(0, len(_KEYS) - 1)),
)


@seed(_SEED)
@settings(max_examples=600, deadline=None)
@given(st.lists(_steps, max_size=60))
def test_admitted_requests_belong_to_the_keys_customer(steps: list[tuple]):
    """Guards against wrong customers, stale cache entries and late stops."""
    fleet = _Fleet()
    for step in steps:
        name = step[0]
        if name == "change":
            fleet.change(step[1], step[2])
        elif name == "read":
            if not fleet.member.out_for_all and not fleet.member.silent:
                fleet.read()
        elif name == "offer":
            # A peer's version without contact of its own.
            if not fleet.member.silent:
                fleet.state.apply(fleet.truth)
        elif name == "wait":
            fleet.now += step[1]
        elif name == "store_out":
            # Nobody reaches the store, but one peer has the latest version.
            fleet.member.silent = set()
            fleet.member.out_for_all = step[1]
            if step[1]:
                fleet.member.versions = {"b": fleet.truth.version}
            fleet.now += 0.125
        elif name == "isolate":
            fleet.member.silent = {"b"}
            fleet.member.dead = {"c"} if step[1] else set()
            fleet.member.out_for_all = True
            fleet.now += 0.125
        else:
            _check_request(fleet, _KEYS[step[1]])


def _check_request(fleet: _Fleet, key: str) -> None:
    now = fleet.now
    result = fleet.check.check(key, _KEYED, now)
    expected = _naive_owner(fleet.state.current, key)
    member = fleet.member
    knows_all = fleet.state.current.version >= max(
        member.versions.values(), default=0
    )
    admits = now - member.contact_at < 4.0 or (
        member.out_for_all and not member.silent and knows_all
    )
    if isinstance(result, Refusal):
        assert result.verdict is Verdict.NOT_RUN
        assert result.reason == ("unknown_key" if admits else "not_fresh")
        assert not admits or expected is None
        return
    assert result is not None and admits
    assert result.name == expected
    assert result in fleet.state.current.customers
    owners = fleet.owners_since(key, now - _REVOCATION_BOUND_S)
    assert result.name in owners


def test_instance_that_is_left_alone_does_not_believe_in_an_outage():
    """Its own partition looks the same to it."""
    fleet = _Fleet()
    fleet.change(0, {0})
    fleet.read()
    fleet.now += 10.0
    fleet.member.out_for_all = True
    fleet.member.dead = {"b"}
    assert fleet.check.check("k0", _KEYED, fleet.now).name == "c0"
    fleet.member.dead = {"b", "c"}
    refused = fleet.check.check("k0", _KEYED, fleet.now + 1.0)
    assert isinstance(refused, Refusal) and refused.reason == "not_fresh"


def test_refusal_for_lack_of_knowledge_names_instances_to_use():
    fleet = _Fleet()
    fleet.member.others = (
        instance("near"),
        instance("far", "kumasi"),
    )
    refused = fleet.check.check("k0", _KEYED, 0.0)
    assert isinstance(refused, Refusal)
    assert (refused.reason, refused.status) == ("not_fresh", 503)
    assert refused.verdict is Verdict.NOT_RUN
    assert refused.next_instances == ("far:1", "near:1")


@pytest.mark.parametrize("key", [None, "", "k9", "x" * 10_000])
def test_missing_and_unknown_keys_are_refused_and_public_routes_are_not(
    key: str | None,
):
    fleet = _Fleet()
    fleet.read()
    refused = fleet.check.check(key, _KEYED, fleet.now)
    assert isinstance(refused, Refusal) and refused.status == 401
    assert fleet.check.check(key, _PUBLIC, fleet.now) is None
    assert fleet.check.check(key, _PUBLIC, fleet.now + 3600) is None


def test_key_is_hashed_once_per_version_and_the_cache_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
):
    fleet = _Fleet()
    fleet.change(0, {0, 1, 2})
    fleet.read()
    hashed: list[str] = []

    def digest(key: str) -> str:
        hashed.append(key)
        return key_digest(key)

    monkeypatch.setattr(keys_check, "key_digest", digest)
    monkeypatch.setattr(keys_check, "MAX_CACHED_KEYS", 2)
    for _ in range(3):
        assert fleet.check.check("k0", _KEYED, fleet.now).name == "c0"
    assert hashed == ["k0"]
    fleet.change(1, {4})
    fleet.read()
    for key in ("k0", "k1", "k2", "k2"):
        fleet.check.check(key, _KEYED, fleet.now)
    assert hashed == ["k0", "k0", "k1", "k2"]
    assert len(fleet.check._cached) <= 2


def test_a_key_of_a_waiting_request_is_judged_by_the_newer_configuration():
    """An instance that lags behind must not refuse a key granted since."""
    digest = key_digest("secret")
    with_key = Configuration(
        version=3,
        customers=[
            Customer(name="a", rate_per_s=1, burst=1, key_digests=[digest])
        ],
    )
    state = ConfigState(with_key)
    member = FakeMembership(instance("a"), [instance("b")])
    member.contact_at = 10.0
    check = KeyCheck(state, member, FakeMetrics())
    assert check.is_still_valid(digest, "a", 3, now=11.0)
    assert not check.is_still_valid(digest, "b", 3, now=11.0)
    state.apply(Configuration(version=4))
    assert not check.is_still_valid(digest, "a", 4, now=11.0)
    assert check.is_still_valid(digest, "a", 5, now=11.0)
    # Cut off, this instance cannot know of a revocation.
    assert not check.is_still_valid(digest, "a", 5, now=20.0)
