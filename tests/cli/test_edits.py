"""Tests that configuration edits change only what a command asks for."""

from __future__ import annotations

import pathlib

import pytest
from msgspec.structs import replace

from radishmux.cli import edits
from radishmux.cli.errors import CliError, ExitCode
from radishmux.config.model import (
    Configuration,
    Selector,
    Shift,
    ShiftIntent,
)
from radishmux.settings.loader import load

ROOT = pathlib.Path(__file__).parents[2]


@pytest.fixture(scope="module")
def trust() -> Configuration:
    file = load(ROOT / "deploy" / "trust.jsonc", Configuration)
    return replace(file, version=7)


SHIFT = Shift(
    name="mist",
    service="poles",
    from_version="stable",
    to_version="2026.12",
    cap=0.5,
    deadline=2e9,
)


def _rejection_code(edit: edits.Edit, trust: Configuration) -> ExitCode:
    with pytest.raises(CliError) as caught:
        edit(trust)
    return caught.value.exit_code


def test_a_put_file_cannot_bring_back_a_withdrawn_key(trust):
    digest = trust.customers[0].key_digests[0]
    name = trust.customers[0].name
    withdrawn = edits.withdraw_key(name, digest[:8])(trust)
    assert withdrawn.customers[0].key_digests == []
    put = edits.replace_all(trust, None, False, False)(withdrawn)
    assert put.customers[0].key_digests == []
    put = edits.replace_all(trust, None, True, False)(withdrawn)
    assert put.customers[0].key_digests == [digest]


def test_a_put_file_keeps_shifts_unless_asked(trust):
    running = edits.start_shift(SHIFT, None)(trust)
    assert edits.replace_all(trust, 7, False, False)(running).shifts
    assert not edits.replace_all(trust, 7, False, True)(running).shifts
    empty = Configuration()
    assert edits.replace_all(running, 0, False, False)(empty).shifts


def test_an_unexpected_version_is_a_conflict(trust):
    edit = edits.replace_all(trust, 6, False, False)
    assert _rejection_code(edit, trust) is ExitCode.CONFLICT


def test_granting_keeps_the_other_keys(trust):
    granted = edits.grant_key("clinics", "a" * 64)(trust)
    clinics = next(
        customer for customer in granted.customers if customer.name == "clinics"
    )
    assert len(clinics.key_digests) == 2
    others = [
        customer for customer in granted.customers if customer.name != "clinics"
    ]
    assert others == [
        customer for customer in trust.customers if customer.name != "clinics"
    ]


@pytest.mark.parametrize(
    "edit",
    [
        edits.grant_key("nobody", "a" * 64),
        edits.withdraw_key("nobody", "a" * 64),
        edits.withdraw_key("clinics", "f" * 64),
        edits.set_labels("region", "nowhere", {"a": "b"}),
        edits.remove_selector("none"),
        edits.set_intent("none", ShiftIntent.PAUSE),
        edits.start_shift(replace(SHIFT, service="none"), None),
    ],
)
def test_unknown_names_are_not_found(edit, trust):
    assert _rejection_code(edit, trust) is ExitCode.NOT_FOUND


def test_an_ambiguous_digest_withdraws_nothing(trust):
    twice = edits.grant_key("clinics", "ab" + "0" * 62)(trust)
    twice = edits.grant_key("clinics", "ab" + "1" * 62)(twice)
    edit = edits.withdraw_key("clinics", "ab")
    assert _rejection_code(edit, twice) is ExitCode.WRONG_INPUT


def test_labels_are_merged_and_removed(trust):
    edit = edits.set_labels("region", "accra", {"coast": "yes", "store": ""})
    assert edit(trust).regions[0].labels == {"coast": "yes"}


def test_selectors_keep_their_order(trust):
    names = [selector.name for selector in trust.selectors]
    again = Selector(name=names[1], allowed_regions=["accra"])
    changed = edits.put_selector(again, None)(trust)
    assert [selector.name for selector in changed.selectors] == names
    assert changed.selectors[1] == again
    first = Selector(name="first", allowed_regions=["accra"])
    changed = edits.put_selector(first, 0)(trust)
    assert [selector.name for selector in changed.selectors] == [
        "first",
        *names,
    ]
    last = edits.put_selector(first, None)(trust)
    assert [selector.name for selector in last.selectors] == [*names, "first"]


def test_a_shift_starts_from_the_stable_version(trust):
    started = edits.start_shift(SHIFT, None)(trust)
    assert started.shifts[0].from_version == "2026.11"
    named = edits.start_shift(SHIFT, "2026.10")(trust)
    assert named.shifts[0].from_version == "2026.10"
    assert _rejection_code(edits.start_shift(SHIFT, None), started) is (
        ExitCode.CONFLICT
    )
    paused = edits.set_intent("mist", ShiftIntent.PAUSE)(started)
    assert paused.shifts[0].intent is ShiftIntent.PAUSE
