"""Connections of radishctl to the store and to instances."""

from __future__ import annotations

import asyncio
import contextlib
import getpass
import os
from collections.abc import AsyncIterator, Coroutine
from typing import Annotated, Any, TypeVar

import aiohttp
import typer

from radishmux.cli.edits import Edit
from radishmux.cli.errors import CliError, ExitCode, error_from
from radishmux.config.document import (
    ConfigWriter,
    InvalidConfiguration,
    StoredDocument,
)
from radishmux.config.model import Configuration
from radishmux.outcome import NotFound, Unavailable
from radishmux.store.etcd import EtcdStore
from radishmux.telemetry.metrics import Metrics

T = TypeVar("T")

_HTTP_TIMEOUT_S = 5.0

StoreAddresses = Annotated[
    list[str],
    typer.Option(
        "--store",
        envvar="RADISHCTL_STORE",
        help="Address (ip:port) of the store; may be repeated.",
    ),
]
AdminAddresses = Annotated[
    list[str],
    typer.Option(
        "--admin",
        envvar="RADISHCTL_ADMIN",
        help="Admin address (ip:port) of an instance; may be repeated.",
    ),
]
DEFAULT_STORE = ["127.0.0.1:2379"]
DEFAULT_ADMIN = ["127.0.0.1:20004"]


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs the asynchronous part of a command."""
    return asyncio.run(work)


def open_store(addresses: list[str]) -> EtcdStore:
    """Returns a store client; use it as an async context manager."""
    return EtcdStore(addresses, Metrics())


def operator_name() -> str:
    """Returns the operator's user name, recorded as the writer of changes."""
    with contextlib.suppress(KeyError, OSError):
        return getpass.getuser()
    return f"uid-{os.getuid()}"


@contextlib.asynccontextmanager
async def open_writer(addresses: list[str]) -> AsyncIterator[ConfigWriter]:
    """Connects to the store and yields the configuration writer."""
    async with open_store(addresses) as store:
        yield ConfigWriter(store, operator_name())


async def read_document(addresses: list[str]) -> StoredDocument:
    """Returns the stored configuration.

    Raises:
        CliError: The store cannot be reached or holds no valid document.
    """
    async with open_writer(addresses) as writer:
        found = await writer.read()
    if isinstance(found, Unavailable):
        raise _error_from_write(found)
    return found[0]


async def apply_edit(addresses: list[str], edit: Edit) -> Configuration:
    """Applies an edit to the stored configuration.

    Raises:
        CliError: The edit was rejected, another operator changed the
            configuration at the same time, or the store cannot be reached.
    """
    async with open_writer(addresses) as writer:
        result = await writer.update(edit)
    if isinstance(result, Unavailable):
        raise _error_from_write(result)
    return result


async def fetch(address: str, path: str) -> Any | NotFound | Unavailable:
    """Sends a GET request to an instance's admin address.

    Returns:
        The decoded JSON body; NotFound for status 404; Unavailable for any
        other failure.
    """
    timeout = aiohttp.ClientTimeout(total=_HTTP_TIMEOUT_S)
    url = f"http://{address}{path}"
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url) as response:
                if response.status == 404:
                    return NotFound(f"{url}: not found")
                if response.status != 200:
                    return Unavailable(f"{url}: status {response.status}")
                return await response.json(content_type=None)
    except TimeoutError:
        return Unavailable(f"{url}: no response within {_HTTP_TIMEOUT_S:g} s")
    except (OSError, aiohttp.ClientError, ValueError) as error:
        return Unavailable(f"{url}: {error}")


async def fetch_all(
    addresses: list[str], path: str
) -> dict[str, Any | Unavailable]:
    """Queries several instances at once; returns the results by address."""
    answers = await asyncio.gather(
        *(fetch(address, path) for address in addresses)
    )
    return dict(zip(addresses, answers, strict=True))


def _error_from_write(outcome: Unavailable) -> CliError:
    if isinstance(outcome, InvalidConfiguration):
        return CliError(outcome.reason, ExitCode.WRONG_INPUT)
    return error_from(outcome)
