"""Guards that a cell never has two dispatchers at the same time (I2)."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmux.dispatch.cells import CellMap
from radishmux.dispatch.holdings import MAX_PAUSE_S, Holdings
from tests.request_parts import FakeConfig, backend, configuration, instance

NAMES = ("i0", "i1", "i2")
BEAT_S = 0.25
PERMIT_S = 1.5
SUSPECT_S = 1.0
TAKEOVER_S = 2.0
CELLS = 3


class World:
    """A naive model of one region: who can reach whom, who is frozen."""

    def __init__(self) -> None:
        self.now = 100.0
        self.frozen: set[str] = set()
        self.killed: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.heard = {one: dict.fromkeys(NAMES, self.now) for one in NAMES}
        self.order = NAMES
        self.updated_at = dict.fromkeys(NAMES, 0.0)
        self.instances = {name: instance(name) for name in NAMES}

    def beat(self) -> None:
        """Lets everybody exchange heartbeats."""
        self.now += BEAT_S
        up = [n for n in NAMES if n not in self.frozen | self.killed]
        for one in up:
            for other in up:
                if frozenset((one, other)) not in self.cut:
                    self.heard[one][other] = self.now

    def hears(self, one: str, other: str, within_s: float) -> bool:
        return self.now - self.heard[one][other] < within_s


class View:
    """Membership as one instance of the world sees it."""

    def __init__(self, world: World, own: str) -> None:
        self._world = world
        self._own = own

    def live(self, region=None):
        return tuple(
            self._world.instances[name]
            for name in NAMES
            if name == self._own
            or not self.proven_dead(name)
            and self._world.hears(self._own, name, SUSPECT_S)
        )

    def peers(self):
        return tuple(self._world.instances[n] for n in NAMES if n != self._own)

    def is_leaving(self, name):
        return False

    def proven_dead(self, name):
        reachable = frozenset((self._own, name)) not in self._world.cut
        return name in self._world.killed and reachable

    def may_be_taken_over(self, name, now):
        if self.proven_dead(name):
            return True
        silent = [
            member
            for member in NAMES
            if member != name
            and (
                member == self._own
                or self._world.hears(self._own, member, SUSPECT_S)
            )
            and not self._world.hears(member, name, TAKEOVER_S)
        ]
        return 2 * len(silent) > len(NAMES)

    def holds_permit(self, now):
        votes = sum(
            name == self._own or self._world.hears(self._own, name, PERMIT_S)
            for name in NAMES
        )
        return 2 * votes > len(NAMES)


event = st.one_of(
    st.tuples(st.sampled_from(("freeze", "thaw")), st.sampled_from(NAMES)),
    st.tuples(
        st.sampled_from(("cut", "join")),
        st.sampled_from([frozenset(p) for p in ("01", "02", "12")]),
    ),
    st.tuples(st.just("kill"), st.sampled_from(NAMES)),
    st.tuples(st.just("wait"), st.integers(1, 16)),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(event, max_size=25), st.booleans())
def test_no_two_instances_hold_a_cell(events, lossy):
    """Guards against double dispatch through freezes, cuts and deaths."""
    world = World()
    servers = [backend(f"b{i}", "127.0.0.1:1") for i in range(CELLS * 2)]
    config = configuration(servers)
    views = {name: View(world, name) for name in NAMES}
    holdings = {
        name: Holdings(name, "r1", CellMap(FakeConfig(config), view), view)
        for name, view in views.items()
    }
    beats = 0
    for kind, what in [*events, ("wait", 16)]:
        if kind == "freeze":
            world.frozen.add(what)
        elif kind == "thaw":
            world.frozen.discard(what)
        elif kind == "kill" and not world.killed:
            world.killed.add(what)
        elif kind in ("cut", "join"):
            pair = frozenset(f"i{digit}" for digit in what)
            (world.cut.add if kind == "cut" else world.cut.discard)(pair)
        for _ in range(what if kind == "wait" else 1):
            beats += 1
            world.beat()
            _update(world, views, holdings, lossy and beats % 3 == 0)


def _update(world, views, holdings, lose: bool) -> None:
    """Lets the instances update one after another."""
    up = [n for n in world.order if n not in world.frozen | world.killed]
    for name in up:
        permit = views[name].holds_permit(world.now)
        holdings[name].update(permit, world.now)
        world.updated_at[name] = world.now
        _check(world, views, holdings)
        for target, cells in holdings[name].releases(world.now).items():
            reachable = frozenset((name, target)) not in world.cut
            if target in up and reachable and not lose:
                holdings[target].on_release(name, cells, world.now)


def _check(world, views, holdings) -> None:
    holders: dict[str, str] = {}
    for name in NAMES:
        if name in world.frozen | world.killed:
            continue
        if not views[name].holds_permit(world.now):
            continue
        # The pause detector of the gate holds dispatches back.
        if world.now - world.updated_at[name] > MAX_PAUSE_S:
            continue
        for cell in holdings[name].held:
            assert cell not in holders, (cell, name, holders[cell])
            holders[cell] = name


def _world(order: tuple[str, ...]):
    world = World()
    world.order = order
    config = configuration([backend("b0", "127.0.0.1:1")])
    views = {name: View(world, name) for name in NAMES}
    holdings = {
        name: Holdings(name, "r1", CellMap(FakeConfig(config), view), view)
        for name, view in views.items()
    }

    def run(beats: int) -> str:
        for _ in range(beats):
            world.beat()
            _update(world, views, holdings, False)
        up = [n for n in NAMES if n not in world.killed | world.frozen]
        return next((n for n in up if holdings[n].held), "")

    return world, run


@pytest.mark.parametrize("order", list(itertools.permutations(NAMES)))
@pytest.mark.parametrize("loss", ["killed", "frozen", "cut"])
def test_a_cell_moves_and_comes_back_without_overlap(order, loss):
    """Guards the way back of a dispatcher that was lost for 4 s."""
    world, run = _world(order)
    holder = run(8)
    assert holder
    if loss == "cut":
        world.cut = {frozenset((holder, n)) for n in NAMES if n != holder}
    else:
        getattr(world, loss).add(holder)
    successor = run(16)
    assert successor and successor != holder
    world.cut.clear()
    world.frozen.clear()
    assert run(8) == (successor if loss == "killed" else holder)
