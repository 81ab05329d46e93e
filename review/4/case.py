"""A request that crashes upstreams, on a route that is split over services."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import lab as kit  # noqa: E402

SERVICES = ("svc-photos", "svc-tournees", "svc-collectes")
ZONES = ("mtl-est", "mtl-ouest", "qc-levis", "sag-chicoutimi")
POISON = "/puka111/poison"
CONTACT_S = kit.BOUNDS["ContactS"]
# The crashing request comes again this often, at the next machine.
AGAIN_S = 2.5
PLAYED_S = 60.0
CRASH_AFTER_S = 0.2
BACK_S = 3.0


class Crashes:
    def __init__(self, lab):
        self.lab = lab
        self.runs = []
        self.tasks = set()

    def on_run(self, upstream, request):
        if request.target != POISON:
            return None
        self.runs.append((upstream.ran[-1][0], upstream.service))
        if kit.TROUBLE:
            old = upstream.id
            asyncio.get_running_loop().call_later(
                CRASH_AFTER_S, self._crash, upstream
            )
            task = asyncio.create_task(self._back(upstream, old))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return 0.3

    def _crash(self, upstream):
        upstream.end()

    async def _back(self, upstream, old):
        await asyncio.sleep(BACK_S)
        await upstream.start()
        # Its old entry is removed after three heartbeats of silence.
        await asyncio.sleep(4.5 - BACK_S)
        await self.lab.store.delete(f"servers/{old}")


async def play(lab):
    split = [{"Service": name, "Weight": 10} for name in SERVICES]
    rules = [("unsafe", "/puka111/", {"WeightedSplit": split})]
    await lab.store.put("op/config", kit.config(rules, SERVICES))
    crashes = Crashes(lab)
    for service in SERVICES:
        for zone in ZONES:
            one = await lab.upstream(service, zone, work_s=0.4)
            one.on_run = crashes.on_run
    gateways = [await lab.gateway(zone) for zone in ZONES[:3]]
    await asyncio.sleep(3)

    innocent = []

    async def ordinary():
        number = 0
        while True:
            number += 1
            gateway = gateways[number % 3]
            task = asyncio.create_task(
                lab.send(gateway, "POST", f"/puka111/{number}", body=b"{}")
            )
            innocent.append(task)
            await asyncio.sleep(0.02)

    load = asyncio.create_task(ordinary())
    began = lab.record.now()
    number = 0
    while lab.record.now() - began < PLAYED_S:
        gateway = gateways[number % 3]
        number += 1
        await lab.send(gateway, "POST", POISON, body=b"{}", note="(poison)")
        await asyncio.sleep(AGAIN_S)
    load.cancel()
    answers = await asyncio.gather(*innocent)
    lost = sum(not answer or answer[0] != 200 for _, answer in answers)
    runs = crashes.runs
    when = ", ".join(f"{at:.1f} s {service}" for at, service in runs)
    print(f"sent {number} times, reached an upstream {len(runs)} times: {when}")
    print(f"{lost} of {len(answers)} other requests were not served")
    if not kit.TROUBLE or len(runs) < 3:
        return []
    third = runs[2][0] + CRASH_AFTER_S
    late = [at for at, _ in runs if at > third + CONTACT_S]
    if len(late) <= 3:
        return []
    return [
        f"BUDGET: the request crashed its third upstream at {third:.1f} s and"
        f" reached upstreams in {len(late)} retries later than {CONTACT_S} s"
        f" after that, at {', '.join(f'{at:.1f}' for at in late)} s"
    ]


kit.main(play, FOLDER)
