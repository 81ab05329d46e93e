"""A request that crashes upstreams comes again after a restart of all machines.

Five callers of one tenant send the same request, and again some seconds later.
Upstreams crash while they run it. The machines hold it back, until all of them
are killed at the same moment.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

import lab2_fleet as fleet  # noqa: E402
import lab2_store as platform_store  # noqa: E402
import lab2_upstream as upstream  # noqa: E402

# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = ("mtl-est", "mtl-ouest", "mtl-est")
POISON, BODY = "/wude451/lot/9041", b"lot 9041: 14 trays collected"
WORK_S = 0.48
# Work after which the request crashes its upstream, and the upstream's absence.
CRASH_S, BACK_S = 0.8, 3.0
DEADLINE_MS, TIMEOUT_S = 2500, 2
CALLERS, SPREAD_S, PAUSE_S = 5, 0.13, 3.0
LENGTH_S = 32.0
CONTACT_S = 4.0
# Time from the restart until the request is sent again.
SETTLE_S = 5.0
ALLOWED = 3


async def main(trouble, record, temporary, gateways):
    store = platform_store.Store()
    await store.start()
    action = {"TimeoutS": TIMEOUT_S, "MaxAttempts": 2}
    store.put(
        "op/config",
        fleet.configuration(
            [("r-1", "unsafe", "/wude451/", "xano55b", action)], ["xano55b"]
        ),
    )
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    tasks = set()

    def start(work):
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def note(kind, server, request):
        if request.target == POISON:
            record.note(kind, upstream=server.name, id=request.id)
        if kind == "crash":
            loop.call_later(BACK_S, lambda: start(server.start(is_cold=True)))

    for n in range(8):
        await upstream.Upstream(
            store,
            "xano55b",
            ZONES[n % 2],
            lambda request: WORK_S * rng.uniform(0.85, 1.15),
            note,
            lambda request: CRASH_S if request.target == POISON else None,
            cold_s=3.0,
        ).start()
    gateways += [
        fleet.Gateway(f"front-{zone}-{n}", zone, store, temporary)
        for n, zone in enumerate(ZONES)
    ]
    await asyncio.gather(*(one.start() for one in gateways))
    ids = iter(f"{n:016x}" for n in range(1, 1_000_000))

    async def others(gateway):
        while True:
            await asyncio.sleep(0.3)
            target = f"/wude451/lot/{rng.randrange(90)}"
            start(
                fleet.send(
                    gateway, next(ids), "POST", target, DEADLINE_MS, BODY
                )
            )

    for one in gateways:
        start(others(one))
    await asyncio.sleep(5)

    async def ask(turn):
        """Sends the request, and once more if it has certainly not run."""
        until = time.monotonic() + DEADLINE_MS / 1000
        for attempt in range(2):
            left_s = until - time.monotonic()
            if left_s < 0.1:
                return
            gateway = gateways[(turn + attempt) % len(gateways)]
            request_id = next(ids)
            record.note("sent", id=request_id, to=gateway.name)
            status, headers = await fleet.send(
                gateway, request_id, "POST", POISON, left_s * 1000, BODY
            )
            record.note("answered", id=request_id, status=status)
            pause_s = float(headers.get("retry-after", 0))
            if status not in (429, 503):
                return
            if pause_s > (until - time.monotonic()) / 3:
                return
            await asyncio.sleep(pause_s)

    def times(kind):
        return [at for at, one, _ in record.entries if one == kind]

    begun_at, restarted_at = time.monotonic(), 0.0
    turn = 0
    while time.monotonic() < begun_at + LENGTH_S:
        asks = []
        for _ in range(CALLERS):
            asks.append(start(ask(turn)))
            turn += 1
            await asyncio.sleep(SPREAD_S)
        await asyncio.gather(*asks)
        await asyncio.sleep(PAUSE_S)
        if trouble and not restarted_at and len(times("crash")) >= 3:
            record.note("killed", machines="all")
            for one in gateways:
                await one.kill()
            await asyncio.sleep(0.5)
            await asyncio.gather(*(one.start() for one in gateways))
            restarted_at = time.monotonic()
            record.note("restarted", machines="all")
            await asyncio.sleep(SETTLE_S)
    crashes = times("crash")
    if len(crashes) < 3:
        raise RuntimeError("the request crashed fewer than three upstreams")
    from_at = max(crashes[2], restarted_at) + CONTACT_S
    late = [at for at in times("arrival") if at > from_at]
    record.note("arrivals_too_late", number=len(late), allowed=ALLOWED)
    record.note("crashes", number=len(crashes))
    for task in list(tasks):
        task.cancel()
    return len(late) > ALLOWED


fleet.run(main, FOLDER, TROUBLE)
