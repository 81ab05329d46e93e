"""Guards store access through a peer and the budget of store calls."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from radishmux.clock import ManualClock, SystemClock
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus
from radishmux.peer.link import PeerUnavailable
from radishmux.store.budget import (
    STORE_CALLS_PER_S,
    BudgetedStore,
    CallBudget,
    CallKind,
    allowance_per_s,
)
from radishmux.store.etcd import EtcdStore
from radishmux.store.interface import Denied, Entry, Rejected
from radishmux.store.relay import MAX_RELAY_PEERS, RelayedStore
from tests.fakes import FakeBus, FakeMembership, FakeMetrics, instance, until
from tests.standin_processes import StandIn, standin

_SEED = 907
_KEY = "radishmux/roster"


@contextlib.asynccontextmanager
async def _pair() -> AsyncIterator[tuple[StandIn, RelayedStore, RelayedStore]]:
    """Two instances with a store address and a control address each."""
    a, b = instance("a"), instance("b", "kumasi")
    metrics = FakeMetrics()
    async with (
        standin("store", ["127.0.0.1:0", "127.0.0.1:0"]) as server,
        EtcdStore([server.addresses[0]], metrics) as store_a,
        EtcdStore([server.addresses[1]], metrics) as store_b,
        PeerBus("a", 1, "127.0.0.1:0") as bus_a,
        PeerBus("b", 1, "127.0.0.1:0") as bus_b,
    ):
        for bus, name, other in ((bus_a, "b", bus_b), (bus_b, "a", bus_a)):
            port = other._server.sockets[0].getsockname()[1]
            await bus.set_address(name, f"127.0.0.1:{port}")
        clock = SystemClock()
        yield (
            server,
            RelayedStore(
                store_a, bus_a, FakeMembership(a, [b]), clock, metrics
            ),
            RelayedStore(
                store_b, bus_b, FakeMembership(b, [a]), clock, metrics
            ),
        )


async def test_every_operation_goes_through_the_peer_while_cut_off():
    async with _pair() as (server, a, b):
        await server.control(listener=server.addresses[0], down="refuse")
        assert isinstance(await a.get(_KEY, 1), Unavailable)
        assert not a.has_direct_contact
        assert isinstance(await a.get(_KEY, 2), NotFound)
        lease = await a.grant_lease(60, 2)
        assert isinstance(lease, int)
        entry = await a.compare_and_swap(_KEY, 0, b"x", 2, lease)
        assert entry == await b.get(_KEY, 2) == await a.get(_KEY, 2)
        lost = await a.compare_and_swap(_KEY, 0, b"y", 2)
        assert isinstance(lost, Conflict)
        assert await a.keep_lease(lease, 2) == 60
        assert await a.revoke_lease(lease, 2) is True
        assert isinstance(await a.get(_KEY, 2), NotFound)

        await server.control(listener=server.addresses[0], down="no")

        async def direct_again() -> bool:
            await a.get(_KEY, 1)
            return a.has_direct_contact

        await until(direct_again)


async def test_call_in_a_silent_store_moves_to_the_peer_before_its_timeout():
    async with _pair() as (server, a, b):
        await server.control(listener=server.addresses[0], down="hang")
        first = asyncio.create_task(a.get(_KEY, 30))
        await until(lambda: not a.has_direct_contact)
        assert isinstance(await a.get(_KEY, 2), NotFound)
        assert not first.done()
        first.cancel()


async def test_answer_lost_at_the_peer_is_unknown_and_written_once():
    async with _pair() as (server, a, b):
        await server.control(listener=server.addresses[0], down="refuse")
        await a.get(_KEY, 1)
        await server.control(lose_answers=1)
        lost = await a.compare_and_swap(_KEY, 0, b"x", 2)
        assert isinstance(lost, Unknown)

        async def found() -> bool:
            entry = await a.get(_KEY, 2)
            return isinstance(entry, Entry) and entry.value == b"x"

        await until(found)
        assert (await server.show())["calls"]["txn"] == 1


async def test_outage_for_all_costs_few_messages_and_reports_no_effect():
    """Relays must not multiply or travel in circles."""
    own = instance("a")
    others = [instance(f"p{n}", "kumasi") for n in range(8)]
    clock = ManualClock()

    class Out:
        calls = 0

        async def compare_and_swap(self, *arguments):
            self.calls += 1
            return Unavailable("refused")

    def no_contact(name, message):
        return messages.StoreRelayed(outcome="unavailable", reason="none")

    bus, out = FakeBus(no_contact), Out()
    store = RelayedStore(
        out, bus, FakeMembership(own, others), clock, FakeMetrics()
    )
    await store.compare_and_swap(_KEY, 0, b"", 1)
    assert (out.calls, bus.sent) == (1, [])
    answer = await store.compare_and_swap(_KEY, 0, b"", 1)
    assert type(answer) is Unavailable
    assert (out.calls, len(bus.sent)) == (2, MAX_RELAY_PEERS)
    reply = await store.on_store_relay(bus.sent[0][1], None)
    assert reply.outcome == "unavailable" and out.calls == 2


async def test_write_whose_relay_times_out_is_not_sent_again():
    own, others = instance("a"), [instance("b"), instance("c")]

    class Out:
        async def compare_and_swap(self, *arguments):
            return Unavailable("refused")

    bus = FakeBus(lambda name, message: PeerUnavailable("timeout"))
    store = RelayedStore(
        Out(), bus, FakeMembership(own, others), ManualClock(), FakeMetrics()
    )
    await store.compare_and_swap(_KEY, 0, b"", 1)
    answer = await store.compare_and_swap(_KEY, 0, b"", 1)
    assert isinstance(answer, Unknown) and len(bus.sent) == 1


async def test_peers_reach_only_the_products_own_keys():
    store = RelayedStore(
        EtcdStore([], FakeMetrics()),
        FakeBus(),
        FakeMembership(instance("a")),
        ManualClock(),
        FakeMetrics(),
    )
    for operation, key in (("get", "other/key"), ("delete", _KEY)):
        message = messages.StoreRelay(operation=operation, key=key)
        reply = await store.on_store_relay(message, None)
        assert reply.reason == "operation not relayed"


async def test_refused_and_denied_calls_do_not_end_direct_contact():
    class Answers:
        answer: Unavailable = Rejected("lease not found")

        async def keep_lease(self, *arguments):
            return self.answer

    direct = Answers()
    store = RelayedStore(
        direct,
        FakeBus(),
        FakeMembership(instance("a")),
        ManualClock(),
        FakeMetrics(),
    )
    for direct.answer in (Rejected("no lease"), Denied("budget")):
        await store.keep_lease(1, 1)
        assert store.has_direct_contact
    direct.answer = Unavailable("down")
    await store.keep_lease(1, 1)
    assert not store.has_direct_contact


@seed(_SEED)
@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(CallKind), st.floats(0, 0.5)), max_size=200
    ),
    st.integers(1, 200),
)
def test_calls_never_exceed_the_allowance(
    calls: list[tuple[CallKind, float]], fleet_size: int
):
    """Counted over every interval that starts with a call."""
    budget = CallBudget(0.0)
    made: list[tuple[float, CallKind]] = []
    now = 0.0
    for kind, pause in calls:
        now += pause
        if budget.try_acquire(kind, fleet_size, now):
            made.append((now, kind))
    assert sum(budget.used.values()) == len(made)
    for start, kind in made:
        for end in {at for at, one in made if at >= start and one is kind}:
            count = sum(one is kind and start <= at <= end for at, one in made)
            rate = STORE_CALLS_PER_S[kind] / max(100, fleet_size)
            burst = 5.0 * STORE_CALLS_PER_S[kind] / 100
            assert count <= rate * (end - start) + burst + 1e-6


def test_ten_instances_leave_nine_tenths_of_the_store():
    for kind in CallKind:
        fleet = 10 * allowance_per_s(kind, 10)
        assert fleet * 10 <= STORE_CALLS_PER_S[kind]


async def test_denied_write_is_not_sent():
    class Counting:
        calls = 0

        async def compare_and_swap(self, *arguments):
            self.calls += 1
            return Conflict("x")

    direct, clock, metrics = Counting(), ManualClock(), FakeMetrics()
    store = BudgetedStore(direct, lambda: 10, clock, metrics)
    answers = []
    for _ in range(40):
        answers.append(await store.compare_and_swap(_KEY, 0, b"", 1))
    denied = sum(isinstance(one, Denied) for one in answers)
    assert denied == metrics.total("store_calls_denied_total") > 0
    assert direct.calls == 40 - denied
    clock.advance(1.0)
    assert isinstance(await store.compare_and_swap(_KEY, 0, b"", 1), Conflict)
