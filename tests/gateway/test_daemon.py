"""The gateway daemon in its own process, with stand-ins for the platform."""

from __future__ import annotations

import asyncio
import signal

import aiohttp

from tests.gateway.fleet import (
    config,
    run_fleet,
    send_request,
    server_entry,
    survives,
)


async def eventually(check, timeout_s=10.0):
    """Waits until a check returns a true value and returns that value."""
    async with asyncio.timeout(timeout_s):
        while True:
            result = await check()
            if result:
                return result
            await asyncio.sleep(0.05)


async def test_request_is_served_for_its_customer(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        status, headers, body = await send_request(gateway, "/safe/1?x=%20y")
        executed = [
            request
            for requests in (await fleet.executed()).values()
            for request in requests
        ]
        wrong_key = await send_request(gateway, Api_Key="other")
        no_route = await send_request(gateway, "/nowhere/1")
    assert (status, body[:2]) == (200, b"i-")
    assert headers["Server-Seal"].startswith("seal-i-")
    assert headers["Request-Id"] == "id-1"
    assert [request["tenant"] for request in executed] == ["t1"]
    assert [request["key"] for request in executed] == [""]
    assert [request["target"] for request in executed] == ["/safe/1?x=%20y"]
    assert 0 < int(executed[0]["deadline"]) <= 2000
    assert (wrong_key[0], no_route[0]) == (401, 404)


# Guards against a daemon that is ended by a SIGHUP while it starts.
async def test_sighup_during_the_start_does_not_end_the_daemon(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        start = asyncio.create_task(fleet.add("g1"))
        async with asyncio.timeout(10):
            while not fleet.gateways or fleet.gateways[0].process is None:
                await asyncio.sleep(0.001)
            gateway = fleet.gateways[0]
            while not survives(gateway.process, signal.SIGHUP):
                await asyncio.sleep(0.001)
        assert "instance is started" not in gateway.log_text()
        while not start.done():
            gateway.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.02)
        await start
        assert (await send_request(gateway))[0] == 200


# Guards against a configuration that arrives before the listener for callers
# has been started, so that reading the store fails and begins again.
async def test_daemon_starts_without_errors(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        log_text = gateway.log_text()
    assert '"instance is started"' in log_text
    assert '"level":"ERROR"' not in log_text


async def test_lost_answer_of_a_non_idempotent_request_is_not_repeated(
    tmp_path,
):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        for server in fleet.servers.values():
            await server.control(lose_answers=1)
        lost = await send_request(
            gateway, "/unsafe/1", "POST", Request_Id="u-1"
        )
        executed = [
            request
            for requests in (await fleet.executed()).values()
            for request in requests
        ]
        log_text = gateway.log_text
        await eventually(lambda: _contains(log_text, '"request":"u-1"'))
    assert lost[0] == 502
    assert [request["id"] for request in executed] == ["u-1"]


async def _contains(read_text, part):
    return part in read_text()


async def test_configuration_and_draining_take_effect(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        address = fleet.servers["i-0"].address
        await fleet.put(
            **{
                "op/config": config(2, keys=("new",)),
                "servers/i-0": server_entry(
                    address, State="draining", Sequence=2
                ),
            }
        )

        async def has_new_key():
            return (await send_request(gateway, Api_Key="new"))[0] == 200

        await eventually(has_new_key, 2.5)
        assert (await send_request(gateway))[0] == 401
        answers = [await send_request(gateway, Api_Key="new") for _ in range(8)]
    assert {body[:3] for _, _, body in answers} == {b"i-1"}


async def test_changes_made_during_a_store_outage_apply_after_it(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        await fleet.store.control(down="hang")
        log_text = gateway.log_text
        await eventually(lambda: _contains(log_text, "store is unreachable"))
        assert (await send_request(gateway))[0] == 200
        await fleet.put(**{"op/config": config(3, keys=("new",))})
        await fleet.store.control(down="no")

        async def has_new_key():
            return (await send_request(gateway, Api_Key="new"))[0] == 200

        # Instances reach the store within four seconds of its recovery.
        await eventually(has_new_key, 4.0)


async def test_store_is_read_again_after_its_history_is_compacted(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        await fleet.store.control(compact=True)
        await fleet.put(**{"op/config": config(4, keys=("new",))})

        async def has_new_key():
            return (await send_request(gateway, Api_Key="new"))[0] == 200

        await eventually(has_new_key, 4.0)


async def test_directory_lists_live_instances_only(tmp_path):
    async def resolve(gateway):
        url = f"http://{gateway.directory}/api/resolve?Name=h&Region=a&Zone=a-1"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return set((await response.json())["Addresses"])

    async with run_fleet(tmp_path) as fleet:
        first = await fleet.add("g1")
        second = await fleet.add("g2")

        async def lists_both():
            return await resolve(first) == {first.caller, second.caller}

        async def lists_first_only():
            return await resolve(first) == {first.caller}

        await eventually(lists_both)
        second.kill()
        # Clients cache an answer. The users require that a dead instance is
        # not listed for longer than seven seconds.
        await eventually(lists_first_only, 7.0)


async def test_sigterm_lets_requests_in_flight_finish(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        for server in fleet.servers.values():
            await server.control(work_ms=1000)
        running = asyncio.create_task(
            send_request(gateway, "/unsafe/1", "POST")
        )

        async def has_begun():
            return any((await fleet.executed()).values())

        await eventually(has_begun)
        gateway.process.send_signal(signal.SIGTERM)

        async def is_unready():
            return await gateway.is_ready() != 200

        await eventually(is_unready, 1.0)
        status, headers, _ = await running
        async with asyncio.timeout(5):
            code = await gateway.process.wait()
    assert (status, headers["Connection"], code) == (200, "close", 0)


async def test_settings_are_checked_and_reloaded(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        gateway.path.write_text("{ broken")
        await eventually(lambda: _contains(gateway.log_text, "not reloaded"))
        assert (await send_request(gateway))[0] == 200
        gateway.kill()
        await gateway.process.wait()
        process = await asyncio.create_subprocess_exec(
            *_command(),
            env={"RADISHMUX_CONFIG": str(gateway.path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
    assert process.returncode == 2
    assert str(gateway.path).encode() in errors


def _command():
    import sys

    from tests.gateway.fleet import ROOT

    return sys.executable, str(ROOT / "gateway.py")


async def test_metrics_count_outcomes(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        gateway = await fleet.add("g1")
        await send_request(gateway)
        async with aiohttp.ClientSession() as session:
            url = f"http://{gateway.metrics}/metrics"
            async with session.get(url) as response:
                text = await response.text()
    assert 'outcome="answered"' in text
    assert "radishmux_gateway_request_seconds_bucket" in text
