"""Tests I2: a cell never has two dispatchers at the same time."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.dispatch.cells import CellMap
from radishmux.dispatch.holdings import MAX_PAUSE_S, Holdings
from tests.request_parts import FakeConfig, backend, configuration, instance

NAMES = ("i0", "i1", "i2")
HEARTBEAT_PERIOD_S = 0.25
PERMIT_S = 1.5
SUSPECT_S = 1.0
TAKEOVER_S = 2.0
CELLS = 3


class RegionModel:
    """A model of one region: time, instances and the links between them.

    Attributes:
        now: Monotonic time.
        paused: Instances whose process is paused.
        killed: Instances whose process is dead.
        cut: Pairs of instances between which no message arrives.
        heard: Time of the latest heartbeat, by receiver and sender.
        update_order: Order in which the instances update their holdings.
        updated_at: Time of the latest update of each instance.
        instances: Records of the instances.
    """

    def __init__(self) -> None:
        self.now = 100.0
        self.paused: set[str] = set()
        self.killed: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.heard = {name: dict.fromkeys(NAMES, self.now) for name in NAMES}
        self.update_order = NAMES
        self.updated_at = dict.fromkeys(NAMES, 0.0)
        self.instances = {name: instance(name) for name in NAMES}

    def exchange_heartbeats(self) -> None:
        """Advances the time and delivers heartbeats over the links not cut."""
        self.now += HEARTBEAT_PERIOD_S
        up = [n for n in NAMES if n not in self.paused | self.killed]
        for receiver in up:
            for sender in up:
                if frozenset((receiver, sender)) not in self.cut:
                    self.heard[receiver][sender] = self.now

    def hears(self, receiver: str, sender: str, within_s: float) -> bool:
        return self.now - self.heard[receiver][sender] < within_s


class ModelMembers:
    """Membership as one instance of the model sees it."""

    def __init__(self, region: RegionModel, own: str) -> None:
        self._region = region
        self._own = own

    def live(self, region=None):
        return tuple(
            self._region.instances[name]
            for name in NAMES
            if name == self._own
            or not self.proven_dead(name)
            and self._region.hears(self._own, name, SUSPECT_S)
        )

    def peers(self):
        return tuple(self._region.instances[n] for n in NAMES if n != self._own)

    def is_leaving(self, name):
        return False

    def proven_dead(self, name):
        reachable = frozenset((self._own, name)) not in self._region.cut
        return name in self._region.killed and reachable

    def may_be_taken_over(self, name, now):
        if self.proven_dead(name):
            return True
        silent = [
            member
            for member in NAMES
            if member != name
            and (
                member == self._own
                or self._region.hears(self._own, member, SUSPECT_S)
            )
            and not self._region.hears(member, name, TAKEOVER_S)
        ]
        return 2 * len(silent) > len(NAMES)

    def holds_permit(self, now):
        votes = sum(
            name == self._own or self._region.hears(self._own, name, PERMIT_S)
            for name in NAMES
        )
        return 2 * votes > len(NAMES)


event = st.one_of(
    st.tuples(st.sampled_from(("pause", "resume")), st.sampled_from(NAMES)),
    st.tuples(
        st.sampled_from(("cut", "reconnect")),
        st.sampled_from([frozenset(p) for p in ("01", "02", "12")]),
    ),
    st.tuples(st.just("kill"), st.sampled_from(NAMES)),
    st.tuples(st.just("wait"), st.integers(1, 16)),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(event, max_size=25), st.booleans())
def test_no_two_instances_hold_a_cell(events, drops_releases):
    """Guards against double dispatch after pauses, cut links and deaths."""
    region = RegionModel()
    servers = [backend(f"b{i}", "127.0.0.1:1") for i in range(CELLS * 2)]
    config = configuration(servers)
    views = {name: ModelMembers(region, name) for name in NAMES}
    holdings = {
        name: Holdings(name, "r1", CellMap(FakeConfig(config), view), view)
        for name, view in views.items()
    }
    heartbeats = 0
    for kind, detail in [*events, ("wait", 16)]:
        if kind == "pause":
            region.paused.add(detail)
        elif kind == "resume":
            region.paused.discard(detail)
        elif kind == "kill" and not region.killed:
            region.killed.add(detail)
        elif kind in ("cut", "reconnect"):
            pair = frozenset(f"i{digit}" for digit in detail)
            (region.cut.add if kind == "cut" else region.cut.discard)(pair)
        for _ in range(detail if kind == "wait" else 1):
            heartbeats += 1
            region.exchange_heartbeats()
            _update(
                region, views, holdings, drops_releases and heartbeats % 3 == 0
            )


def _update(region, views, holdings, drop_releases: bool) -> None:
    """Updates the holdings of the instances one after another."""
    up = [
        n for n in region.update_order if n not in region.paused | region.killed
    ]
    for name in up:
        permit = views[name].holds_permit(region.now)
        holdings[name].update(permit, region.now)
        region.updated_at[name] = region.now
        _check_single_holders(region, views, holdings)
        for target, cells in holdings[name].due_releases(region.now).items():
            reachable = frozenset((name, target)) not in region.cut
            if target in up and reachable and not drop_releases:
                holdings[target].record_release(name, cells, region.now)


def _check_single_holders(region, views, holdings) -> None:
    holders: dict[str, str] = {}
    for name in NAMES:
        if name in region.paused | region.killed:
            continue
        if not views[name].holds_permit(region.now):
            continue
        # After a pause the dispatch gate stays closed until the next update.
        if region.now - region.updated_at[name] > MAX_PAUSE_S:
            continue
        for cell in holdings[name].held:
            assert cell not in holders, (cell, name, holders[cell])
            holders[cell] = name


def _build_region(update_order: tuple[str, ...]):
    region = RegionModel()
    region.update_order = update_order
    config = configuration([backend("b0", "127.0.0.1:1")])
    views = {name: ModelMembers(region, name) for name in NAMES}
    holdings = {
        name: Holdings(name, "r1", CellMap(FakeConfig(config), view), view)
        for name, view in views.items()
    }

    def run(heartbeats: int) -> str:
        for _ in range(heartbeats):
            region.exchange_heartbeats()
            _update(region, views, holdings, False)
        up = [n for n in NAMES if n not in region.killed | region.paused]
        return next((n for n in up if holdings[n].held), "")

    return region, run


@pytest.mark.parametrize("update_order", list(itertools.permutations(NAMES)))
@pytest.mark.parametrize("loss", ["killed", "paused", "cut"])
def test_a_cell_moves_and_comes_back_without_overlap(update_order, loss):
    """Guards against two holders when a lost dispatcher returns after 4 s."""
    region, run = _build_region(update_order)
    holder = run(8)
    assert holder
    if loss == "cut":
        region.cut = {frozenset((holder, n)) for n in NAMES if n != holder}
    else:
        getattr(region, loss).add(holder)
    successor = run(16)
    assert successor and successor != holder
    region.cut.clear()
    region.paused.clear()
    assert run(8) == (successor if loss == "killed" else holder)
