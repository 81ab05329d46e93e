"""The proxy between processes of a soak or of a test with cuts."""

import asyncio
import socket

import pytest

from soak.proxy import CUTS, LISTENER_OUTLIVES_S, FaultProxy, Link


async def _echo(reader, writer):
    writer.write(await reader.readline())
    await writer.drain()
    writer.close()


async def _echoed(address):
    """Returns what comes back through a new connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"hello\n")
    try:
        async with asyncio.timeout(2.0):
            return await reader.read()
    finally:
        writer.close()


async def _until_connected(address):
    """Returns what comes back once the proxy accepts connections."""
    async with asyncio.timeout(5.0):
        while True:
            try:
                return await _echoed(address)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)


# A stand-in of another test took the port of a cut proxy; the gateway sent its
# requests there and answered 404.
@pytest.mark.parametrize("link", [*Link])
async def test_port_stays_reserved(link):
    async with FaultProxy() as proxy:
        host, _, port = proxy.address.rpartition(":")
        proxy.set_link(link)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))


# The soak did not see that gateways took a server that had ended for alive.
async def test_reset_ends_connections_before_the_listener():
    async with FaultProxy() as proxy:
        host, _, port = proxy.address.rpartition(":")
        proxy.set_link(Link.CUT_RESET)
        reader, writer = await asyncio.open_connection(host, int(port))
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


@pytest.mark.parametrize("link", [Link.CUT_RESET, Link.CUT_NEW])
async def test_cut_refuses_new_connections(link):
    async with FaultProxy() as proxy:
        proxy.set_link(link)
        await asyncio.sleep(2 * LISTENER_OUTLIVES_S)
        with pytest.raises(ConnectionRefusedError):
            await _echoed(proxy.address)


async def test_silent_cut_lets_new_connections_hang():
    async with FaultProxy() as proxy:
        proxy.set_link(Link.CUT_SILENT)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await _echoed(proxy.address)


@pytest.mark.parametrize("link", CUTS)
async def test_bytes_pass_after_a_cut(link):
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    async with server, FaultProxy() as proxy:
        host, port = server.sockets[0].getsockname()
        proxy.target = f"{host}:{port}"
        proxy.set_link(link)
        proxy.set_link(Link.SOUND)
        assert await _until_connected(proxy.address) == b"hello\n"


# Each end of a cut opened a listener, of which only the first could.
async def test_cuts_in_quick_succession_open_one_listener():
    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: failures.append(context["message"])
    )
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    async with server, FaultProxy() as proxy:
        host, port = server.sockets[0].getsockname()
        proxy.target = f"{host}:{port}"
        for _ in range(3):
            proxy.set_link(Link.CUT_RESET)
            proxy.set_link(Link.SOUND)
        assert await _until_connected(proxy.address) == b"hello\n"
    # Tasks report what they failed with once they are collected.
    await asyncio.sleep(0)
    assert failures == []
