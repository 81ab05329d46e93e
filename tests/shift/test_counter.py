"""Tests the share of requests that a new version gets on one instance."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given

from radishmux.config.model import Shift, ShiftIntent
from radishmux.shift.chooser import VersionChooser, VersionStop
from radishmux.shift.counter import PPM, ShareCounter, to_ppm
from radishmux.shift.document import ShiftDocument, ShiftRecord, ShiftState
from tests.steer.fakes import FakeConfig, configuration


@given(share_ppm=st.integers(0, PPM), total=st.integers(1, 500))
def test_every_prefix_moves_exactly_the_share_rounded_down(share_ppm, total):
    counter = ShareCounter(share_ppm)
    for n in range(1, total + 1):
        counter.decide()
        assert counter.moved == share_ppm * n // PPM


def test_shares_are_rounded_down_but_keep_their_decimal_value():
    assert to_ppm(0.29) == 290_000
    assert to_ppm(1 / 3) == 333_333
    assert to_ppm(7.0) == PPM


def configured_shift(intent=ShiftIntent.RUN, cap=0.5):
    return Shift(
        name="s1",
        service="poles",
        from_version="v1",
        to_version="v2",
        cap=cap,
        deadline=1e9,
        intent=intent,
    )


def document(share_ppm, sequence, started=1, state=ShiftState.RAMPING):
    record = ShiftRecord(
        name="s1",
        service="poles",
        from_version="v1",
        to_version="v2",
        cap_ppm=500_000,
        canary_ppm=20_000,
        deadline=1e9,
        state=state,
        share_ppm=share_ppm,
        started=started,
        step=sequence,
    )
    return ShiftDocument(epoch=1, sequence=sequence, shifts=(record,))


def moved(chooser, requests=100):
    chosen = [chooser.choose("poles", "status", 0.0) for _ in range(requests)]
    return chosen.count("v2")


def test_without_a_shift_the_stable_version_is_chosen():
    chooser = VersionChooser(FakeConfig(configuration()))
    assert chooser.choose("poles", "status", 0.0) == "v1"
    assert chooser.on_document(document(400_000, 1))
    assert moved(chooser) == 0, "a shift that is not configured is in force"


def test_the_share_follows_the_newest_document_and_the_operators_cap():
    config = FakeConfig(configuration(shifts=[configured_shift()]))
    chooser = VersionChooser(config)
    assert chooser.on_document(document(400_000, 5))
    assert not chooser.on_document(document(500_000, 4)), "older than in force"
    assert moved(chooser) == 40
    config.set(configuration(shifts=[configured_shift(cap=0.1)]))
    assert moved(chooser) == 10
    config.set(configuration(shifts=[configured_shift(ShiftIntent.TAKE_BACK)]))
    assert moved(chooser) == 0


def test_a_stop_lasts_until_another_shift_starts():
    chooser = VersionChooser(
        FakeConfig(configuration(shifts=[configured_shift()]))
    )
    chooser.on_document(document(400_000, 5, started=3))
    stop = VersionStop(
        service="poles", version="v2", route="*", reason="errors", step=2
    )
    assert chooser.on_stop(stop)
    assert moved(chooser) == 40, "a stop of an earlier shift is in force"
    stop = VersionStop(
        service="poles", version="v2", route="*", reason="errors", step=5
    )
    assert chooser.on_stop(stop)
    assert not chooser.on_stop(stop)
    chooser.on_document(document(500_000, 6, started=3))
    assert moved(chooser) == 0
    chooser.on_document(document(500_000, 8, started=8))
    assert moved(chooser) == 50


def test_a_partitioned_instance_uses_the_old_version():
    """Fails when a partitioned instance keeps using the new version."""
    chooser = VersionChooser(
        FakeConfig(configuration(shifts=[configured_shift()]))
    )
    chooser.on_document(document(400_000, 5))
    chooser.set_connected(False)
    assert moved(chooser) == 0
    chooser.set_connected(True)
    assert moved(chooser) == 40
