"""After a bad version was rolled back, the operator orders the next one."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import lab as kit  # noqa: E402

SERVICE = "svc-collectes"
ZONES = ("mtl-est", "mtl-ouest", "qc-levis", "sag-chicoutimi")
STATUS = f"status/rollout/{SERVICE}"
ORDER = f"op/rollout/{SERVICE}"
SHARE = kit.BOUNDS["ExposureShare"]
SLACK = kit.BOUNDS["ExposureSlack"]
DURATION_S = 12.0
# Share of the bad version's answers that are failures.
BAD_SHARE = 0.25
PER_S = 250.0
# At `rolled_back`, the new upstreams drain some seconds later.
DRAIN_AFTER_S = 5.0
# The operator's next order comes this long after it has seen the state.
NEXT_ORDER_S = 0.5


def order(version):
    return {
        "Service": SERVICE,
        "TargetVersion": version,
        "DurationS": DURATION_S,
    }


async def play(lab):
    rules = [("unsafe", "/puka111/", {"Service": SERVICE})]
    await lab.store.put("op/config", kit.config(rules, [SERVICE]))
    for zone in ZONES:
        await lab.upstream(SERVICE, zone, work_s=0.1)
    gateways = [await lab.gateway(zone) for zone in ZONES[:3]]
    await asyncio.sleep(5)
    sent = []

    async def clients():
        while True:
            gateway = gateways[len(sent) % len(gateways)]
            task = lab.send(gateway, "POST", "/puka111/lot", body=b"{}")
            sent.append(asyncio.create_task(task))
            await asyncio.sleep(1 / PER_S)

    load = asyncio.create_task(clients())
    await asyncio.sleep(2)
    failures = []

    def status_of(request):
        if random.random() >= BAD_SHARE:
            return 200
        failures.append(lab.record.now())
        return 500

    bad = []
    for zone in ZONES:
        one = await lab.upstream(SERVICE, zone, version="v2", work_s=0.1)
        one.status_of = status_of
        bad.append(one)
    await asyncio.sleep(1)
    ordered_at = lab.record.write("operator", "orders v2")
    await lab.store.put(ORDER, order("v2"))
    while (lab.store.value(STATUS) or {}).get("State") != "rolled_back":
        await asyncio.sleep(0.02)
    back_at = lab.record.write("operator", "sees that v2 is rolled_back")
    if kit.TROUBLE:
        for zone in ZONES:
            await lab.upstream(SERVICE, zone, version="v3", work_s=0.1)
        await asyncio.sleep(NEXT_ORDER_S)
        lab.record.write("operator", "orders v3")
        await lab.store.put(ORDER, order("v3"))
    await asyncio.sleep(back_at + DRAIN_AFTER_S - lab.record.now())
    for one in bad:
        one.state = "draining"
        await one.register()
    lab.record.write("operator", "sees that the upstreams of v2 drain")
    until = ordered_at + DURATION_S
    await asyncio.sleep(until - lab.record.now())
    load.cancel()
    await asyncio.gather(*sent)

    def runs(upstreams):
        times = [at for one in upstreams for at, _, _ in one.ran]
        return sorted(at for at in times if ordered_at <= at <= until)

    got, total = runs(bad), len(runs(lab.upstreams))
    allowed = SHARE * total + SLACK
    later = sum(at > back_at + 1.0 for at in got)
    print(f"v2 got {len(got)} of {total} requests, allowed {allowed:.0f};")
    print(f"{later} of them over 1 s after it was rolled back")
    print(f"{len(failures)} requests of clients failed on v2")
    if len(got) <= allowed:
        return []
    return [
        f"EXPOSURE: the bad version v2 got {len(got)} of {total} requests"
        f" between its order and its deadline, allowed {allowed:.0f}; {later}"
        " of them over 1 s after it was rolled back"
    ]


kit.main(play, FOLDER)
