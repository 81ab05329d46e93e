"""Another writer leaves an entry in the list of upstreams.

Fields of it are missing, and its id has letters beyond Latin-1.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

import lab2_fleet as fleet  # noqa: E402
import lab2_store as platform_store  # noqa: E402
import lab2_upstream as upstream  # noqa: E402

# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Services of the two kinds of requests; the entry names the first one.
SERVICES = {"r-1": "dele69a", "r-2": "xano55b"}
FOREIGN_KEY = "servers/i-łódź-1"
DEADLINE_MS = 2000
ROUNDS, EVERY_S = 300, 0.03


async def main(trouble, record, temporary, gateways):
    store = platform_store.Store()
    await store.start()
    action = {"TimeoutS": 1.5, "MaxAttempts": 2}
    store.put(
        "op/config",
        fleet.configuration(
            [
                (name, "safe", f"/{name}/", service, action)
                for name, service in SERVICES.items()
            ],
            list(SERVICES.values()),
        ),
    )

    def note(kind, server, request):
        record.note(kind, upstream=server.name, id=request.id)

    for service in SERVICES.values():
        for zone in ("mtl-est", "mtl-ouest") * 2:
            await upstream.Upstream(
                store, service, zone, lambda request: 0.36, note
            ).start()
    gateways += [
        fleet.Gateway(f"front-{zone}-1", zone, store, temporary)
        for zone in ("mtl-est", "mtl-ouest")
    ]
    await asyncio.gather(*(one.start() for one in gateways))
    await asyncio.sleep(5)
    if trouble:
        store.put(
            FOREIGN_KEY,
            {
                "Service": SERVICES["r-1"],
                "Address": f"127.0.0.1:{fleet.free_port('127.0.0.1')}",
                "Zone": "mtl-est",
                "State": "ready",
                "Slots": 6,
            },
        )
        record.note("entry", key="servers/i-lodz-1, in Polish letters")
    await asyncio.sleep(5)
    served = dict.fromkeys(SERVICES, 0)

    async def ask(number, name):
        request_id = f"{number:015x}{name[-1]}"
        record.note("sent", id=request_id, route=name)
        status, _ = await fleet.send(
            gateways[number % 2],
            request_id,
            "GET",
            f"/{name}/lot/{number}",
            DEADLINE_MS,
        )
        record.note("answered", id=request_id, status=status)
        served[name] += status == 200

    asks = []
    for number in range(ROUNDS):
        asks += [
            asyncio.create_task(ask(number, name)) for name in SERVICES
        ]
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*asks)
    of_all = sum(served.values()) / (len(SERVICES) * ROUNDS)
    for name in SERVICES:
        record.note("served", route=name, number=served[name], of=ROUNDS)
    if not trouble and of_all < 0.9:
        raise RuntimeError("requests were not served")
    return any(served[name] / ROUNDS < of_all / 4 for name in SERVICES)


fleet.run(main, FOLDER, TROUBLE)
