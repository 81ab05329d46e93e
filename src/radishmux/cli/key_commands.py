"""`radishctl key`: grant and withdraw customers' keys."""

from __future__ import annotations

import hashlib
import secrets
from typing import Annotated

import typer

from radishmux.cli.connection import (
    DEFAULT_STORE,
    StoreAddresses,
    apply_edit,
    run,
)
from radishmux.cli.edits import grant_key, withdraw_key
from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, emit
from radishmux.cli.waiting import WaitAddresses, wait_in_force

app = typer.Typer(no_args_is_help=True, help="Keys of customers.")

_KEY_BYTES = 32
# Lets secret scanners recognise a key in published files.
_KEY_PREFIX = "rmx_"
_MIN_DIGEST_DIGITS = 8

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
    accepted = run(apply_edit(store, grant_key(customer, digest)))
    # Print the key before waiting: a failed wait must not lose a stored key.
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
    if len(digest) < _MIN_DIGEST_DIGITS:
        raise CliError(
            f"digest {digest!r} is too short: give at least"
            f" {_MIN_DIGEST_DIGITS} digits",
            ExitCode.WRONG_INPUT,
        )
    accepted = run(apply_edit(store, withdraw_key(customer, digest)))
    wait_in_force(list(wait), accepted.version, output)
    emit(
        {
            "customer": customer,
            "digest": digest,
            "version": accepted.version,
        },
        output,
    )
