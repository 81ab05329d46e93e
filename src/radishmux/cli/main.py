"""Entry point of radishctl."""

from __future__ import annotations

import typer

from radishmux.cli import (
    config_commands,
    crash_commands,
    duty_commands,
    inspect_commands,
    key_commands,
    label_commands,
    refusal_commands,
    request_commands,
    settings_commands,
    shift_commands,
)
from radishmux.cli.output import ErrorGroup

app = typer.Typer(
    name="radishctl",
    cls=ErrorGroup,
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
    help="Operates radishmux: settings, configuration, keys and shifts.",
    epilog=(
        "Exit codes: 0 done, 2 wrong usage or file, 3 conflict with another"
        " operator, 4 store or instance unavailable, 5 not found."
    ),
)
app.add_typer(settings_commands.app, name="settings")
app.add_typer(config_commands.app, name="config")
app.add_typer(key_commands.app, name="key")
app.add_typer(label_commands.label_app, name="label")
app.add_typer(label_commands.selector_app, name="selector")
app.add_typer(shift_commands.app, name="shift")
app.command()(inspect_commands.status)
app.command()(inspect_commands.explain)
app.command()(inspect_commands.report)
app.command()(request_commands.request)
app.command()(crash_commands.crashes)
app.command()(refusal_commands.refusals)
app.command()(duty_commands.duties)


def main() -> None:
    """Runs radishctl."""
    app()


if __name__ == "__main__":
    main()
