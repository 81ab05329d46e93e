"""`radishctl config`: check, put and show the configuration."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from radishmux.cli.connection import (
    DEFAULT_STORE,
    StoreAddresses,
    apply_edit,
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
    """Returns the configuration in a file after validating it.

    Raises:
        CliError: The file cannot be read or is invalid.
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
    """Checks a configuration file without contacting the store."""
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
        typer.Option(help="Fail unless the store holds this version."),
    ] = None,
    replace_keys: Annotated[
        bool,
        typer.Option(
            "--replace-keys",
            help="Also replace key digests of known customers.",
        ),
    ] = False,
    replace_shifts: Annotated[
        bool,
        typer.Option(
            "--replace-shifts",
            help="Replace the stored shifts by those of the file.",
        ),
    ] = False,
    store: StoreAddresses = DEFAULT_STORE,
    wait: WaitAddresses = (),
    output: Output = TEXT,
) -> None:
    """Puts a configuration file in force.

    The stored keys of known customers and the stored shifts are kept, because
    the `key` and `shift` commands manage them.
    """
    edit = replace_all(read_file(file), expect, replace_keys, replace_shifts)
    accepted = run(apply_edit(store, edit))
    wait_in_force(list(wait), accepted.version, output)
    emit(
        {"version": accepted.version, "writer": accepted.writer},
        output,
        f"version {accepted.version} accepted",
    )


@app.command()
def show(store: StoreAddresses = DEFAULT_STORE, output: Output = TEXT) -> None:
    """Shows a summary of the stored configuration; JSON output is complete."""
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
            {"name": region.name, "labels": region.labels}
            for region in configuration.regions
        ],
        "customers": [
            {
                "name": customer.name,
                "rate_per_s": customer.rate_per_s,
                "burst": customer.burst,
                "keys": [digest[:12] for digest in customer.key_digests],
                "labels": customer.labels,
            }
            for customer in configuration.customers
        ],
        "services": [
            {
                "name": service.name,
                "stable_version": service.stable_version,
                "routes": [route.name for route in service.routes],
                "backend_servers": sum(
                    server.service == service.name for server in servers
                ),
                "labels": service.labels,
            }
            for service in configuration.services
        ],
        "selectors": [
            {
                "name": selector.name,
                "customers": selector.customer_labels,
                "services": selector.service_labels,
                "callers_in": selector.caller_regions,
                "allowed": selector.allowed_regions,
            }
            for selector in configuration.selectors
        ],
        "shifts": [
            {
                "name": shift.name,
                "service": shift.service,
                "to_version": shift.to_version,
                "cap": shift.cap,
                "intent": shift.intent.value,
            }
            for shift in configuration.shifts
        ],
    }
