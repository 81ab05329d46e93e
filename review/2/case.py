"""A request that crashes upstreams, whose client has left before the crash."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import lab as kit  # noqa: E402

SERVICES = ("svc-collectes", "svc-tournees")
ZONES = ("mtl-est", "mtl-ouest", "qc-levis", "qc-beauport")
CRASHING = "/puka111/poison"
CONTACT_S = kit.BOUNDS["ContactS"]
# The client leaves after half of the route's latency objective of 0.4 s, or
# stays if LEAVE is 0.
LEAVES_AFTER_S = 0.2 if os.environ.get("LEAVE", "1") != "0" else 2.5
CRASH_AFTER_S = 0.4
AGAIN_S = 2.5
PLAYED_S = 45.0
BACK_S = 3.0


async def leave_early(lab, gateway, number):
    """Sends the crashing request; its client closes the connection soon."""
    request_id = lab.request_id()
    lab.record.write("client", f"sends {request_id} POST {CRASHING} ({number})")
    reader, writer = await asyncio.open_connection(*gateway.front)
    writer.write(kit.request_bytes(request_id, "POST", CRASHING, 2500, b"{}"))
    answer = None
    try:
        async with asyncio.timeout(LEAVES_AFTER_S):
            answer = await kit.read_answer(reader)
            status = answer[0] if answer else "a closed connection"
            lab.record.write("client", f"gets {request_id} {status}")
    except TimeoutError:
        lab.record.write("client", f"leaves {request_id}")
    writer.close()


async def play(lab):
    rules = [
        ("unsafe", "/puka111/", {"Service": SERVICES[0]}),
        ("safe", "/leny950/", {"Service": SERVICES[1]}),
    ]
    await lab.store.put("op/config", kit.config(rules, SERVICES))
    runs = []
    tasks = set()

    async def back(upstream, old):
        await asyncio.sleep(BACK_S)
        await upstream.start()
        # Its old entry is removed after three heartbeats of silence.
        await asyncio.sleep(4.5 - BACK_S)
        await lab.store.delete(f"servers/{old}")

    def crash(upstream):
        old = upstream.id
        upstream.end()
        task = asyncio.create_task(back(upstream, old))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def on_run(upstream, request):
        if request.target != CRASHING:
            return None
        runs.append(upstream.ran[-1][0])
        if kit.TROUBLE:
            # It does not drop the request when the connection closes.
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_AFTER_S, crash, upstream)
        return CRASH_AFTER_S + 0.2

    for service in SERVICES:
        for zone in ZONES:
            one = await lab.upstream(service, zone, work_s=0.3)
            one.on_run = on_run
    gateways = [await lab.gateway(zone) for zone in ZONES[:3]]
    await asyncio.sleep(5)
    others = []

    async def clients():
        while True:
            gateway = gateways[len(others) // 2 % 3]
            for method, path in (("POST", "/puka111/"), ("GET", "/leny950/")):
                target = f"{path}{len(others)}"
                body = b"{}" if method == "POST" else b""
                task = lab.send(gateway, method, target, 2500, body)
                others.append(asyncio.create_task(task))
            await asyncio.sleep(0.04)

    load = asyncio.create_task(clients())
    began = lab.record.now()
    number = 0
    while lab.record.now() - began < PLAYED_S:
        await leave_early(lab, gateways[number % 3], number)
        number += 1
        await asyncio.sleep(AGAIN_S)
    load.cancel()
    answers = await asyncio.gather(*others)
    lost = sum(not answer or answer[0] != 200 for _, answer in answers)
    when = ", ".join(f"{at:.1f}" for at in runs)
    print(f"sent {number} times, reached an upstream {len(runs)} times: {when}")
    print(f"{lost} of {len(answers)} other requests were not served")
    if not kit.TROUBLE or len(runs) < 3:
        return []
    third = runs[2] + CRASH_AFTER_S
    late = [at for at in runs if at > third + CONTACT_S]
    if len(late) <= 3:
        return []
    return [
        f"BUDGET: the request crashed its third upstream at {third:.1f} s and"
        f" reached upstreams in {len(late)} retries later than {CONTACT_S} s"
        f" after that; {lost} accepted requests of others were lost"
    ]


kit.main(play, FOLDER)
