"""When a starting gateway says that it is ready."""

from __future__ import annotations

import asyncio
import json

from radishmux.gateway import app as gateway_app
from radishmux.http.pipelined import PipelinedServer
from radishmux.settings.gateway import load_gateway
from tests.gateway.fleet import Gateway, run_fleet, send_request

DELAY_S = 0.5


class SlowServer(PipelinedServer):
    """A listener that starts late."""

    async def __aenter__(self):
        await asyncio.sleep(DELAY_S)
        return await super().__aenter__()


# Guards against an instance that says that it is ready, since the store has
# answered, while it does not listen for callers yet.
async def test_instance_is_not_ready_before_it_listens_for_callers(
    tmp_path, monkeypatch
):
    async with run_fleet(tmp_path) as fleet:
        gateway = Gateway("g1", "a", "a-1", fleet.store.address, tmp_path)
        gateway.path.write_text(json.dumps(gateway.settings))
        settings = load_gateway(gateway.path)

        def listener(address, *args, **options):
            is_caller = address == settings.listen.caller
            kind = SlowServer if is_caller else PipelinedServer
            return kind(address, *args, **options)

        monkeypatch.setattr(gateway_app, "PipelinedServer", listener)
        app = gateway_app.GatewayApp(settings)
        start = asyncio.create_task(app.__aenter__())
        try:
            async with asyncio.timeout(10):
                while await gateway.is_ready() != 200:
                    await asyncio.sleep(0.02)
            assert (await send_request(gateway))[0] == 200
            await start
        finally:
            await app.__aexit__(None, None, None)
