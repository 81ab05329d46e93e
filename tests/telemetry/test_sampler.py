"""Guards the sampled gauges and the count of control traffic."""

from __future__ import annotations

from radishmux.clock import ManualClock
from radishmux.peer import messages
from radishmux.peer.bus import PeerBus
from radishmux.telemetry.metrics import Metrics
from radishmux.telemetry.sampler import Sampler
from tests.fakes import until


class FakeStatus:
    """State of an instance with three peers."""

    ready = True
    leaving = False
    store_contact_age_s = 0.4
    store_out_for_all = False
    holds_permit = True
    weight = 1_111
    peers = {"b": "live", "c": "live", "d": "dead"}
    cells = ()


async def _exchange(a: PeerBus, b: PeerBus) -> None:
    @b.handle(messages.ConfigRequest)
    async def answer(message, sender):
        return messages.Done(accepted=True)

    address = b._server.sockets[0].getsockname()
    await a.set_address("b", f"{address[0]}:{address[1]}")
    reply = await a.request("b", messages.ConfigRequest(above_version=1), 5.0)
    assert reply.accepted


async def test_both_ends_count_the_same_bytes_replies_included():
    async with PeerBus("a", 1, "127.0.0.1:0") as a:
        async with PeerBus("b", 1, "127.0.0.1:0") as b:
            await _exchange(a, b)
            await until(lambda: a.traffic.received_messages == 1)
            assert a.traffic.sent_messages == b.traffic.received_messages
            assert a.traffic.sent_bytes == b.traffic.received_bytes > 0
            assert a.traffic.received_bytes == b.traffic.sent_bytes > 0


async def test_samples_set_gauges_and_totals():
    metrics = Metrics()
    async with PeerBus("a", 1, "127.0.0.1:0") as bus:
        bus.traffic.sent_bytes = 700
        sampler = Sampler(metrics, ManualClock(), bus.traffic, FakeStatus)
        async with sampler:
            sampler.sample()  # Totals must not add up.
    assert metrics.value("control_bytes_total", direction="sent") == 700
    assert metrics.value("ready") == 1
    assert metrics.value("roster_weight") == 1_111
    assert metrics.value("peers", state="live") == 2
    assert metrics.value("peers", state="suspect") == 0
    assert metrics.value("resident_bytes") > 1e6
    assert metrics.value("cpu_seconds") > 0


def test_a_late_timer_counts_as_a_pause():
    metrics = Metrics()
    traffic = PeerBus("a", 1, "").traffic
    sampler = Sampler(metrics, ManualClock(), traffic, FakeStatus)
    sampler.record_timer_delay(0.2)
    assert metrics.value("pauses_total") == 0
    sampler.record_timer_delay(1.5)
    assert metrics.value("pauses_total") == 1
