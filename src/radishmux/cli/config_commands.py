"""`radishctl config`: check, put and show the configuration."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from radishmux.cli.connection import (
    DEFAULT_STORE,
    StoreAddresses,
    change,
    read_document,
    run,
)
from radishmux.cli.edits import replace_all
from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, OutputFormat, emit
from radishmux.cli.waiting import WaitAddresses, wait_in_force
from radishmux.config.model import Configuration
from radishmux.config.validation import validate
from radishmux.settings.loader import SettingsError, load

app = typer.Typer(no_args_is_help=True, help="The operators' configuration.")

File = Annotated[
    pathlib.Path, typer.Argument(help="Configuration, JSON with comments.")
]


def read_file(file: pathlib.Path) -> Configuration:
    """Returns the configuration in a file after all checks.

    Raises:
        CliError: The file cannot be read or is not allowed.
    """
    try:
        configuration = load(file, Configuration)
    except SettingsError as error:
        raise CliError(str(error), ExitCode.WRONG_INPUT) from error
    problems = validate(configuration)
    if problems:
        lines = "\n".join(f"{file}: {problem}" for problem in problems)
        raise CliError(lines, ExitCode.WRONG_INPUT)
    return configuration


@app.command()
def check(file: File, output: Output = TEXT) -> None:
    """Checks a configuration file without the store."""
    configuration = read_file(file)
    emit(
        {"file": str(file), "valid": True, **_counts(configuration)},
        output,
    )


@app.command()
def put(
    file: File,
    expect: Annotated[
        int | None,
        typer.Option(help="Fail unless this version is in the store."),
    ] = None,
    replace_keys: Annotated[
        bool,
        typer.Option(
            "--replace-keys",
            help="Take key digests of known customers from the file too.",
        ),
    ] = False,
    replace_shifts: Annotated[
        bool,
        typer.Option("--replace-shifts", help="Take shifts from the file."),
    ] = False,
    store: StoreAddresses = DEFAULT_STORE,
    wait: WaitAddresses = (),
    output: Output = TEXT,
) -> None:
    """Puts a configuration file in force.

    Keys of known customers and shifts stay as they are, because `key` and
    `shift` change them.
    """
    edit = replace_all(read_file(file), expect, replace_keys, replace_shifts)
    accepted = run(change(store, edit))
    wait_in_force(list(wait), accepted.version, output)
    emit(
        {"version": accepted.version, "writer": accepted.writer},
        output,
        f"version {accepted.version} accepted",
    )


@app.command()
def show(store: StoreAddresses = DEFAULT_STORE, output: Output = TEXT) -> None:
    """Shows the stored configuration; as JSON, in full."""
    configuration = run(read_document(store)).configuration
    if output is OutputFormat.JSON:
        emit(configuration, output)
        return
    emit(_summary(configuration), output)


def _counts(configuration: Configuration) -> dict[str, int]:
    return {
        "regions": len(configuration.regions),
        "customers": len(configuration.customers),
        "services": len(configuration.services),
        "backend_servers": len(configuration.backend_servers),
        "selectors": len(configuration.selectors),
        "shifts": len(configuration.shifts),
    }


def _summary(configuration: Configuration) -> dict[str, object]:
    servers = configuration.backend_servers
    return {
        "version": configuration.version,
        "writer": configuration.writer,
        "regions": [
            {"name": one.name, "labels": one.labels}
            for one in configuration.regions
        ],
        "customers": [
            {
                "name": one.name,
                "rate_per_s": one.rate_per_s,
                "burst": one.burst,
                "keys": [digest[:12] for digest in one.key_digests],
                "labels": one.labels,
            }
            for one in configuration.customers
        ],
        "services": [
            {
                "name": one.name,
                "stable_version": one.stable_version,
                "routes": [route.name for route in one.routes],
                "backend_servers": sum(
                    server.service == one.name for server in servers
                ),
                "labels": one.labels,
            }
            for one in configuration.services
        ],
        "selectors": [
            {
                "name": one.name,
                "customers": one.customer_labels,
                "services": one.service_labels,
                "callers_in": one.caller_regions,
                "allowed": one.allowed_regions,
            }
            for one in configuration.selectors
        ],
        "shifts": [
            {
                "name": one.name,
                "service": one.service,
                "to_version": one.to_version,
                "cap": one.cap,
                "intent": one.intent.value,
            }
            for one in configuration.shifts
        ],
    }
