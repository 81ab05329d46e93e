"""`radishctl key`: grant and withdraw customers' keys."""

from __future__ import annotations

import hashlib
import secrets
from typing import Annotated

import typer

from radishmux.cli.connection import (
    DEFAULT_STORE,
    StoreAddresses,
    change,
    run,
)
from radishmux.cli.edits import grant_key, withdraw_key
from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, emit
from radishmux.cli.waiting import WaitAddresses, wait_in_force

app = typer.Typer(no_args_is_help=True, help="Keys of customers.")

_KEY_BYTES = 32
# Makes a key recognisable, for example by scanners of published files.
_KEY_PREFIX = "rmx_"
_SHORTEST_DIGEST = 8

CustomerName = Annotated[str, typer.Argument(help="Name of the customer.")]


@app.command()
def grant(
    customer: CustomerName,
    store: StoreAddresses = DEFAULT_STORE,
    wait: WaitAddresses = (),
    output: Output = TEXT,
) -> None:
    """Grants a new key and prints it once; only its digest is stored."""
    key = _KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    accepted = run(change(store, grant_key(customer, digest)))
    # Printed before the wait: a key that is in the store must not be lost.
    emit(
        {
            "customer": customer,
            "key": key,
            "digest": digest,
            "version": accepted.version,
        },
        output,
    )
    wait_in_force(list(wait), accepted.version, output)


@app.command()
def withdraw(
    customer: CustomerName,
    digest: Annotated[
        str, typer.Argument(help="Digest of the key, or its first digits.")
    ],
    store: StoreAddresses = DEFAULT_STORE,
    wait: WaitAddresses = (),
    output: Output = TEXT,
) -> None:
    """Withdraws a key; it stops working within 5 s."""
    if len(digest) < _SHORTEST_DIGEST:
        raise CliError(
            f"digest {digest!r} is too short: at least"
            f" {_SHORTEST_DIGEST} digits",
            ExitCode.WRONG_INPUT,
        )
    accepted = run(change(store, withdraw_key(customer, digest)))
    wait_in_force(list(wait), accepted.version, output)
    emit(
        {
            "customer": customer,
            "digest": digest,
            "version": accepted.version,
        },
        output,
    )
