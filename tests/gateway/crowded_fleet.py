"""Instances, servers with short queues and returning callers, in virtual time.

The decisions are those of the daemon: request flow, choice of the server,
waiting and admission. Servers and callers are simulated; reports, rollouts and
rate limits are left out.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from radishmux.dispatch.server_response import NoResponse, ServerResponse
from radishmux.gateway.decision_log import DecisionLog
from radishmux.gateway.events import ConfigurationPut, ServerPut
from radishmux.gateway.fleet_state import FleetState
from radishmux.gateway.request_flow import RequestFlow
from radishmux.gateway.retry_budgets import RetryBudgets
from radishmux.gateway.server_chooser import ServerChooser
from radishmux.gateway.shortage_log import ShortageLog
from radishmux.gateway.waiting_requests import WaitingRequests
from radishmux.platform import dialect
from radishmux.settings.gateway import AdmissionSettings, Bounds
from radishmux.steer.cold_pace import ColdRateLimiter
from radishmux.steer.placement import Placement, object_key
from radishmux.steer.server_contact import ServerContact
from radishmux.steer.server_state import LoadReport
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Verdict
from tests.gateway import parts
from tests.gateway.test_request_flow import FakeLogStream, FakeRateLimiter
from tests.gateway.test_request_flow import FakeRollouts as Rollouts
from tests.steer.warm_fleet import WarmServer

WARM_S = 0.1
COLD_S = 3.3 * WARM_S
# Places in the queue of a server for each slot.
QUEUE_RATIO = 3
CACHE_SIZE = 40
TRAVEL_S = 0.001
DEADLINE_S = 2.0
TARGET_S = 0.4
COLD_PER_S = 10.0
# Longest pause that callers honour, as a share of the time left.
HONOURED = 1 / 3


class CrowdedServer(WarmServer):
    """A server that rejects requests beyond its queue."""

    async def serve(self, key, rng):
        """Returns whether the request ran, and the load at its end."""
        slots = self.record.entry.slots
        has_slot = None
        if self.running >= slots:
            if len(self.queue) >= QUEUE_RATIO * slots:
                return False, self.report()
            has_slot = asyncio.get_running_loop().create_future()
            self.queue.append(has_slot)
            try:
                await has_slot
            except asyncio.CancelledError:
                if has_slot in self.queue:
                    self.queue.remove(has_slot)
                else:
                    self.end()
                raise
            self.running -= 1
        work_s = self.begin(key, COLD_S, WARM_S, rng)
        try:
            await asyncio.sleep(work_s)
        finally:
            self.end()
        return True, self.report()

    def end(self):
        self.running -= 1
        while self.queue:
            has_slot = self.queue.popleft()
            if not has_slot.done():
                # Taken until the request begins.
                self.running += 1
                has_slot.set_result(None)
                return

    def report(self):
        return LoadReport(
            self.running, len(self.queue), self.record.entry.slots
        )


class CrowdedSender:
    """Sends requests to the servers as `ServerSender` does."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.placement = None
        self.cold_limiter = None

    def may_send(self, server, now):
        return not server.is_cold(now) or self.cold_limiter.allows(server, now)

    def accepted_per_s(self, server, now):
        if not server.is_cold(now):
            return float("inf")
        return self.cold_limiter.rate_per_s(server)

    def needs_permit(self, server):
        return False

    async def send(self, attempt):
        fleet, choice, call = self.fleet, attempt.choice, attempt.call
        now = fleet.loop.time()
        if choice.server.is_cold(now) and not self.cold_limiter.try_acquire(
            choice.server, now
        ):
            return NoResponse("cold_pace", Verdict.NOT_RUN)
        state = self.placement.state_of(choice.server)
        key = object_key(attempt.route.name, call.affinity)
        state.record_sent(now)
        fleet.sent += 1
        try:
            await asyncio.sleep(TRAVEL_S)
            target = fleet.servers[choice.server.name]
            has_run, report = await target.serve(key, fleet.rng)
            await asyncio.sleep(TRAVEL_S)
        finally:
            state.record_end()
        duration_s = fleet.loop.time() - now
        now += duration_s
        state.apply_load_report(report, now)
        if not has_run:
            fleet.rejected += 1
            state.record_shed(now)
            return NoResponse("shed:503", Verdict.NOT_RUN)
        state.record_response(duration_s / choice.expected_s, key, now)
        if not choice.is_queued:
            self.placement.work_times("s", attempt.route.name).record_work(
                duration_s, choice.known_warm, choice.is_home
            )
        return ServerResponse(200, [], b"")


class CrowdedFleet:
    """Some instances that share servers of one service.

    Args:
        loop: The virtual loop.
        instances: Number of instances.
        servers: Slots of each server.
        seed: Seed of all random numbers.
        max_waiting: Size of the waiting rooms; 0 for none.
        cold_s: Time for which all servers are cold.
    """

    def __init__(self, loop, instances, servers, seed, max_waiting, cold_s=0.0):
        random.seed(seed)
        self.loop = loop
        self.rng = random.Random(seed)
        self.sent = self.rejected = 0
        self.tasks = set()
        # Callers by route and outcome, and requests at the instances.
        self.outcomes = Counter()
        self.requests = 0
        routes = [
            parts.route(
                f"class{n}",
                path_prefix=f"/{n}/",
                priority=n,
                timeout_s=DEADLINE_S,
                target_latency_s=TARGET_S,
            )
            for n in range(3)
        ]
        self.servers = {
            f"s{n}": CrowdedServer(f"s{n}", "a-1", slots, CACHE_SIZE)
            for n, slots in enumerate(servers)
        }
        events = [
            *(
                ServerPut(
                    name,
                    parts.entry(name, slots=slots, cold_remaining_s=cold_s),
                )
                for name, slots in zip(self.servers, servers, strict=True)
            ),
            ConfigurationPut(parts.configuration(*routes)),
        ]
        names = frozenset(f"i{n}" for n in range(instances))
        self.flows = [
            self._flow(
                name, names, events, max_waiting, 0.0 if cold_s else -100.0
            )
            for name in sorted(names)
        ]

    def _flow(self, name, names, events, max_waiting, seen_at):
        fleet = FleetState(lambda change: change, parts.REGIONS)
        for event in events:
            fleet.on_change(event, seen_at)
        sender = CrowdedSender(self)
        placement = sender.placement = Placement("a", "a-1")
        limiter = sender.cold_limiter = ColdRateLimiter(name)
        limiter.set_instances(names)
        limiter.set_rates({"s": COLD_PER_S})
        clock = self.loop
        guard = parts.crash_guard(clock)
        chooser = ServerChooser(fleet, Rollouts(), placement, sender, guard)
        budgets = RetryBudgets(Bounds())
        budgets.set_instances(len(names))
        contact = ServerContact()
        waiting = None
        if max_waiting:
            waiting = WaitingRequests(
                chooser,
                contact,
                AdmissionSettings(max_waiting=max_waiting),
                clock,
                ShortageLog(Metrics()),
            )
        return RequestFlow(
            fleet,
            chooser,
            sender,
            parts.guarded_sender(sender, clock, guard),
            FakeRateLimiter(),
            budgets,
            dialect,
            clock,
            DecisionLog(FakeLogStream(), name, lambda: 1, Metrics()),
            contact,
            None,
            waiting,
        )

    async def play(self, seconds, per_s, objects, begins_in="calm"):
        """Lets callers arrive for some seconds."""
        until = self.loop.time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.loop.time() >= until:
                break
            task = asyncio.create_task(self._call(begins_in, objects))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self):
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def _call(self, phase, objects):
        """One caller, which returns after refusals until its deadline."""
        began_at = self.loop.time()
        deadline = began_at + DEADLINE_S
        priority = self.rng.randrange(3)
        target = f"/{priority}/x"
        key = f"o{self.rng.randrange(objects)}"
        while True:
            left_s = deadline - self.loop.time()
            self.requests += 1
            flow = self.rng.choice(self.flows)
            request = parts.request(
                target,
                received_at=self.loop.time(),
                deadline_remaining=str(max(1, round(left_s * 1000))),
                affinity_key=key,
            )
            try:
                async with asyncio.timeout(left_s):
                    response = await flow.handle(request)
            except TimeoutError:
                outcome = "gone"
                break
            took_s = self.loop.time() - began_at
            if response.status == 200:
                outcome = "in time" if took_s <= TARGET_S else "late"
                break
            left_s = deadline - self.loop.time()
            pause_s = float(dict(response.headers).get("Retry-After", "1"))
            pause_s = min(pause_s, HONOURED * left_s)
            if left_s - pause_s < WARM_S:
                outcome = f"refused {response.status}"
                break
            await asyncio.sleep(pause_s)
        self.outcomes[(phase, priority, outcome)] += 1

    def share(self, phase, outcome, priority=None):
        """Returns the share of the callers of a phase with an outcome."""
        found = total = 0
        for (one, other, result), count in self.outcomes.items():
            if one == phase and priority in (None, other):
                total += count
                found += count * (result == outcome)
        return found / total
