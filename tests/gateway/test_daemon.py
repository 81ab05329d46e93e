"""The gateway daemon as a process, beside stand-ins of the platform."""

from __future__ import annotations

import asyncio
import signal

import aiohttp

from tests.gateway.fleet import config, run_fleet, send_request, server_entry


async def eventually(check, timeout_s=10.0):
    """Waits until a check returns something true and returns it."""
    async with asyncio.timeout(timeout_s):
        while True:
            found = await check()
            if found:
                return found
            await asyncio.sleep(0.05)


async def test_request_is_served_for_its_customer(tmp_path):
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        status, headers, body = await send_request(gateway, "/safe/1?x=%20y")
        ran = [one for ran in (await made.ran()).values() for one in ran]
        wrong = await send_request(gateway, Api_Key="other")
        nowhere = await send_request(gateway, "/nowhere/1")
    assert (status, body[:2]) == (200, b"i-")
    assert headers["Server-Seal"].startswith("seal-i-")
    assert headers["Request-Id"] == "id-1"
    assert [one["tenant"] for one in ran] == ["t1"]
    assert [one["key"] for one in ran] == [""]
    assert [one["target"] for one in ran] == ["/safe/1?x=%20y"]
    assert 0 < int(ran[0]["deadline"]) <= 2000
    assert (wrong[0], nowhere[0]) == (401, 404)


async def test_lost_answer_of_a_non_idempotent_request_is_not_repeated(
    tmp_path,
):
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        for one in made.servers.values():
            await one.control(lose_answers=1)
        lost = await send_request(
            gateway, "/unsafe/1", "POST", Request_Id="u-1"
        )
        ran = [one for ran in (await made.ran()).values() for one in ran]
        text = gateway.text
        await eventually(lambda: _contains(text, '"request":"u-1"'))
    assert lost[0] == 502
    assert [one["id"] for one in ran] == ["u-1"]


async def _contains(text, part):
    return part in text()


async def test_configuration_and_draining_take_effect(tmp_path):
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        address = made.servers["i-0"].address
        await made.put(
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


async def test_store_outage_changes_nothing_and_news_follow_it(tmp_path):
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        await made.store.control(down="hang")
        text = gateway.text
        await eventually(lambda: _contains(text, "store is unreachable"))
        assert (await send_request(gateway))[0] == 200
        await made.put(**{"op/config": config(3, keys=("new",))})
        await made.store.control(down="no")

        async def has_new_key():
            return (await send_request(gateway, Api_Key="new"))[0] == 200

        # Instances are in touch again four seconds after the store's return.
        await eventually(has_new_key, 4.0)


async def test_lost_history_is_read_again(tmp_path):
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        await made.store.control(compact=True)
        await made.put(**{"op/config": config(4, keys=("new",))})

        async def has_new_key():
            return (await send_request(gateway, Api_Key="new"))[0] == 200

        await eventually(has_new_key, 4.0)


async def test_directory_names_living_instances_only(tmp_path):
    async def resolve(gateway):
        url = f"http://{gateway.directory}/api/resolve?Name=h&Region=a&Zone=a-1"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return set((await response.json())["Addresses"])

    async with run_fleet(tmp_path) as made:
        first = await made.add("g1")
        second = await made.add("g2")

        async def names_both():
            return await resolve(first) == {first.caller, second.caller}

        async def names_one():
            return await resolve(first) == {first.caller}

        await eventually(names_both)
        second.kill()
        # Clients keep an answer; the users' bound on naming a dead instance
        # is seven seconds.
        await eventually(names_one, 7.0)


async def test_sigterm_answers_what_runs(tmp_path):
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        for one in made.servers.values():
            await one.control(work_ms=1000)
        running = asyncio.create_task(
            send_request(gateway, "/unsafe/1", "POST")
        )

        async def has_begun():
            return any((await made.ran()).values())

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
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        gateway.path.write_text("{ broken")
        await eventually(lambda: _contains(gateway.text, "not reloaded"))
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


async def test_metrics_tell_outcomes(tmp_path):
    async with run_fleet(tmp_path) as made:
        gateway = await made.add("g1")
        await send_request(gateway)
        async with aiohttp.ClientSession() as session:
            url = f"http://{gateway.metrics}/metrics"
            async with session.get(url) as response:
                text = await response.text()
    assert 'outcome="answered"' in text
    assert "radishmux_gateway_request_seconds_bucket" in text
