"""Checks the key check against a naive model.

Invariant I3: requests run only for the customer whose key they carry, and a
revoked key stops working within 5 s. Generated sequences of grants,
revocations, store reads, outages and requests go to `KeyCheck` and to a model
that hashes the key for every customer and keeps all configuration versions.
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


class _Scenario:
    """The stored configuration and one instance that reads it."""

    def __init__(self) -> None:
        self.now = 100.0
        self.stored = Configuration()
        self.history: list[tuple[float, Configuration]] = [(0.0, self.stored)]
        self.state = ConfigState()
        self.membership = FakeMembership(
            instance("a"), [instance("b"), instance("c", "kumasi")]
        )
        self.check = KeyCheck(self.state, self.membership, FakeMetrics())

    def set_keys(self, customer: int, keys: set[int]) -> None:
        """Replaces a customer's keys in a new version of the configuration.

        Other customers lose these keys: a key has at most one customer.
        """
        customers_by_name = {old.name: old for old in self.stored.customers}
        digests = {key_digest(_KEYS[key]) for key in keys}
        customers_by_name = {
            name: Customer(
                name=name,
                rate_per_s=1,
                burst=1,
                key_digests=[d for d in old.key_digests if d not in digests],
            )
            for name, old in customers_by_name.items()
        }
        customers_by_name[f"c{customer}"] = Customer(
            name=f"c{customer}",
            rate_per_s=1,
            burst=1,
            key_digests=sorted(digests),
        )
        self.stored = Configuration(
            version=self.stored.version + 1,
            customers=list(customers_by_name.values()),
        )
        self.history.append((self.now, self.stored))
        # A write proves that some instance reaches the store. Its peers learn
        # of it before the key check evaluates `store_out_for_all` again, after
        # 0.1 s. An isolated instance that last read the roster before the
        # others joined does not learn of it.
        self.membership.out_for_all = bool(self.membership.silent)
        self.now += 0.125

    def read_store(self) -> None:
        self.state.apply(self.stored)
        self.membership.record_store_contact(self.now)

    def customers_since(self, key: str, since: float) -> set[str | None]:
        """Returns the customers that a key had at any time from `since` on."""
        configurations = [
            c for stored_at, c in self.history if stored_at > since
        ]
        earlier = [c for stored_at, c in self.history if stored_at <= since]
        return {
            _naive_customer(configuration, key)
            for configuration in [earlier[-1], *configurations]
        }


def _naive_customer(configuration: Configuration, key: str) -> str | None:
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
def test_key_check_agrees_with_a_naive_model(steps: list[tuple]):
    """Guards against wrong customers, stale cache entries and revoked keys."""
    scenario = _Scenario()
    for step in steps:
        name = step[0]
        if name == "change":
            scenario.set_keys(step[1], step[2])
        elif name == "read":
            if (
                not scenario.membership.out_for_all
                and not scenario.membership.silent
            ):
                scenario.read_store()
        elif name == "offer":
            # A peer sends its version; the store is not read.
            if not scenario.membership.silent:
                scenario.state.apply(scenario.stored)
        elif name == "wait":
            scenario.now += step[1]
        elif name == "store_out":
            # No instance reaches the store; one peer has the latest version.
            scenario.membership.silent = set()
            scenario.membership.out_for_all = step[1]
            if step[1]:
                scenario.membership.versions = {"b": scenario.stored.version}
            scenario.now += 0.125
        elif name == "isolate":
            scenario.membership.silent = {"b"}
            scenario.membership.dead = {"c"} if step[1] else set()
            scenario.membership.out_for_all = True
            scenario.now += 0.125
        else:
            _check_request(scenario, _KEYS[step[1]])


def _check_request(scenario: _Scenario, key: str) -> None:
    now = scenario.now
    result = scenario.check.check(key, _KEYED, now)
    expected = _naive_customer(scenario.state.current, key)
    membership = scenario.membership
    has_newest_version = scenario.state.current.version >= max(
        membership.versions.values(), default=0
    )
    may_admit = now - membership.contact_at < 4.0 or (
        membership.out_for_all and not membership.silent and has_newest_version
    )
    if isinstance(result, Refusal):
        assert result.verdict is Verdict.NOT_RUN
        assert result.reason == ("unknown_key" if may_admit else "not_fresh")
        assert not may_admit or expected is None
        return
    assert result is not None and may_admit
    assert result.name == expected
    assert result in scenario.state.current.customers
    recent_customers = scenario.customers_since(key, now - _REVOCATION_BOUND_S)
    assert result.name in recent_customers


def test_isolated_instance_does_not_assume_a_store_outage():
    """Guards against accepting revoked keys behind a network partition.

    To an instance without any peer, its own partition looks like an outage of
    the store.
    """
    scenario = _Scenario()
    scenario.set_keys(0, {0})
    scenario.read_store()
    scenario.now += 10.0
    scenario.membership.out_for_all = True
    scenario.membership.dead = {"b"}
    assert scenario.check.check("k0", _KEYED, scenario.now).name == "c0"
    scenario.membership.dead = {"b", "c"}
    refusal = scenario.check.check("k0", _KEYED, scenario.now + 1.0)
    assert isinstance(refusal, Refusal) and refusal.reason == "not_fresh"


def test_not_fresh_refusal_lists_other_failure_domains_first():
    scenario = _Scenario()
    scenario.membership.others = (
        instance("near"),
        instance("far", "kumasi"),
    )
    refusal = scenario.check.check("k0", _KEYED, 0.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.status) == ("not_fresh", 503)
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.next_instances == ("far:1", "near:1")


@pytest.mark.parametrize("key", [None, "", "k9", "x" * 10_000])
def test_missing_and_unknown_keys_are_refused_and_public_routes_are_not(
    key: str | None,
):
    scenario = _Scenario()
    scenario.read_store()
    refusal = scenario.check.check(key, _KEYED, scenario.now)
    assert isinstance(refusal, Refusal) and refusal.status == 401
    assert scenario.check.check(key, _PUBLIC, scenario.now) is None
    assert scenario.check.check(key, _PUBLIC, scenario.now + 3600) is None


def test_key_is_hashed_once_per_version_and_the_cache_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
):
    scenario = _Scenario()
    scenario.set_keys(0, {0, 1, 2})
    scenario.read_store()
    hashed_keys: list[str] = []

    def digest(key: str) -> str:
        hashed_keys.append(key)
        return key_digest(key)

    monkeypatch.setattr(keys_check, "key_digest", digest)
    monkeypatch.setattr(keys_check, "MAX_CACHED_KEYS", 2)
    for _ in range(3):
        assert scenario.check.check("k0", _KEYED, scenario.now).name == "c0"
    assert hashed_keys == ["k0"]
    scenario.set_keys(1, {4})
    scenario.read_store()
    for key in ("k0", "k1", "k2", "k2"):
        scenario.check.check(key, _KEYED, scenario.now)
    assert hashed_keys == ["k0", "k0", "k1", "k2"]
    assert len(scenario.check._customer_by_key) <= 2


def test_key_of_a_waiting_request_is_checked_against_the_newer_version():
    """Guards against refusing a key that only a newer version contains."""
    digest = key_digest("secret")
    with_key = Configuration(
        version=3,
        customers=[
            Customer(name="a", rate_per_s=1, burst=1, key_digests=[digest])
        ],
    )
    state = ConfigState(with_key)
    membership = FakeMembership(instance("a"), [instance("b")])
    membership.contact_at = 10.0
    check = KeyCheck(state, membership, FakeMetrics())
    assert check.is_still_valid(digest, "a", 3, now=11.0)
    assert not check.is_still_valid(digest, "b", 3, now=11.0)
    state.apply(Configuration(version=4))
    assert not check.is_still_valid(digest, "a", 4, now=11.0)
    assert check.is_still_valid(digest, "a", 5, now=11.0)
    # The last store read is 10 s old, so a revocation may be unknown here.
    assert not check.is_still_valid(digest, "a", 5, now=20.0)
