"""`radishctl settings`: check a daemon's settings and print the schemas."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, emit
from radishmux.cli.schema import SCHEMAS, schema_of, write_schemas
from radishmux.settings.daemon import DaemonSettings
from radishmux.settings.gateway import load_gateway
from radishmux.settings.loader import SettingsError, load

app = typer.Typer(no_args_is_help=True, help="Settings of radishmuxd.")


@app.command()
def check(
    file: Annotated[pathlib.Path, typer.Argument(help="Settings file.")],
    gateway: Annotated[
        bool,
        typer.Option("--gateway", help="Check settings of the gateway daemon."),
    ] = False,
    output: Output = TEXT,
) -> None:
    """Checks a settings file as the daemon does when it starts."""
    try:
        settings = load_gateway(file) if gateway else load(file, DaemonSettings)
    except SettingsError as error:
        raise CliError(str(error), ExitCode.WRONG_INPUT) from error
    emit(
        {"file": str(file), "valid": True, "instance": settings.instance},
        output,
        f"{file}: valid settings of instance {settings.instance}",
    )


@app.command()
def schema(
    write: Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder to write the schema files to."),
    ] = None,
    output: Output = TEXT,
) -> None:
    """Prints or writes the JSON schemas of settings and configuration."""
    if write is None:
        # Schemas are printed as JSON whatever the output format.
        schemas = {name: schema_of(kind) for name, kind in SCHEMAS.items()}
        emit(schemas, type(output).JSON)
        return
    paths = [str(path) for path in write_schemas(write)]
    emit({"written": paths}, output, "\n".join(paths))
