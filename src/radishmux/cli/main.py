"""Entry point of radishctl."""

from __future__ import annotations

import typer

from radishmux.cli import settings_commands
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


def main() -> None:
    """Runs radishctl."""
    app()
