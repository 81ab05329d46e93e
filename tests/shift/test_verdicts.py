"""Verdicts on versions, which outlive the orders that they come from."""

from __future__ import annotations

import itertools

import pytest

from radishmux.shift.rollout import VersionRule
from radishmux.shift.verdicts import (
    MAX_VERSIONS,
    VersionVerdict,
    VersionVerdicts,
)

ORDERED = VersionVerdict(1, False)
ROLLED_BACK = VersionVerdict(3, True)
NEXT_ORDER = ("v3", VersionVerdict(5, False))
ORDERED_AGAIN = VersionVerdict(8, False)


def verdicts_after(entries):
    verdicts = VersionVerdicts()
    for version, verdict in entries:
        verdicts.record("s", version, verdict)
    return verdicts


@pytest.mark.parametrize(
    "order",
    list(
        itertools.permutations(
            [("v2", ORDERED), ("v2", ROLLED_BACK), NEXT_ORDER]
        )
    ),
)
def test_next_order_keeps_the_verdict_in_any_order_of_arrival(order):
    assert verdicts_after(order).rejected("s") == {"v2"}


# An operator may order a version once more when it has been mended.
@pytest.mark.parametrize(
    "order",
    list(
        itertools.permutations(
            [("v2", ROLLED_BACK), NEXT_ORDER, ("v2", ORDERED_AGAIN)]
        )
    ),
)
def test_later_order_of_the_same_version_ends_its_verdict(order):
    assert verdicts_after(order).rejected("s") == frozenset()


def test_verdict_of_an_order_is_later_than_the_order():
    same = [("v2", VersionVerdict(1, True)), ("v2", ORDERED)]
    assert verdicts_after(same).rejected("s") == {"v2"}
    assert verdicts_after(reversed(same)).rejected("s") == {"v2"}


def test_other_services_are_not_concerned():
    assert verdicts_after([("v2", ROLLED_BACK)]).rejected("t") == frozenset()


def test_oldest_verdicts_are_forgotten():
    verdicts = verdicts_after(
        (f"v{n}", VersionVerdict(n, True)) for n in range(3 * MAX_VERSIONS)
    )
    kept = {f"v{n}" for n in range(2 * MAX_VERSIONS, 3 * MAX_VERSIONS)}
    assert verdicts.rejected("s") == kept


@pytest.mark.parametrize(
    ("entries", "recorded", "missing"),
    [
        pytest.param([("v2", ORDERED)], {}, {}, id="nothing-rejected"),
        pytest.param(
            [("v2", ROLLED_BACK), NEXT_ORDER],
            {},
            {"s": {"v2": ROLLED_BACK}},
            id="rejected",
        ),
        pytest.param(
            [("v2", ROLLED_BACK)], {"v2": ROLLED_BACK}, {}, id="recorded"
        ),
        pytest.param(
            [("v2", ORDERED_AGAIN)],
            {"v2": ROLLED_BACK},
            {"s": {"v2": ORDERED_AGAIN}},
            id="ordered-again",
        ),
    ],
)
def test_only_what_the_store_lacks_is_written(entries, recorded, missing):
    verdicts = verdicts_after(
        [(name, verdict) for name, verdict in recorded.items()]
    )
    for version, verdict in entries:
        verdicts.record("s", version, verdict)
    assert verdicts.unrecorded({"s": recorded}) == missing


@pytest.mark.parametrize(
    ("rule", "allowed"),
    [
        (VersionRule(), {"v1", "v3"}),
        (VersionRule(never="v3"), {"v1"}),
        (VersionRule(only="v3"), {"v3"}),
    ],
)
def test_rule_excludes_rejected_versions(rule, allowed):
    rule = rule.excluding(frozenset({"v2"}))
    versions = ("v1", "v2", "v3")
    assert {one for one in versions if rule.allows(one)} == allowed


# The requests of a version whose servers are full went to a rejected one.
def test_fallback_excludes_rejected_versions():
    rule = VersionRule(only="v3").excluding(frozenset({"v2"})).fallback()
    assert [rule.allows(one) for one in ("v1", "v2", "v3")] == [
        True,
        False,
        False,
    ]
