"""`radishctl label` and `radishctl selector`."""

from __future__ import annotations

from typing import Annotated

import typer

from radishmux.cli.connection import (
    DEFAULT_STORE,
    StoreAddresses,
    apply_edit,
    run,
)
from radishmux.cli.edits import (
    LABELLED,
    put_selector,
    remove_selector,
    set_labels,
)
from radishmux.cli.errors import CliError, ExitCode
from radishmux.cli.output import TEXT, Output, emit
from radishmux.config.model import Selector

label_app = typer.Typer(no_args_is_help=True, help="Labels of records.")
selector_app = typer.Typer(
    no_args_is_help=True, help="Selectors: which traffic may go where."
)

LabelConditions = Annotated[
    list[str], typer.Option(help="KEY=VALUE that must match; repeatable.")
]


def parse_pairs(pairs: list[str]) -> dict[str, str]:
    """Parses KEY=VALUE arguments into a dict.

    Raises:
        CliError: An argument has no key or no equals sign.
    """
    parsed = {}
    for pair in pairs:
        key, sign, value = pair.partition("=")
        if not key or not sign:
            raise CliError(f"{pair!r} is not KEY=VALUE", ExitCode.WRONG_INPUT)
        parsed[key] = value
    return parsed


@label_app.command("set")
def set_label(
    kind: Annotated[str, typer.Argument(help=" | ".join(LABELLED))],
    name: Annotated[str, typer.Argument(help="Name of the record.")],
    pairs: Annotated[
        list[str],
        typer.Argument(
            metavar="KEY=VALUE...", help="Labels; KEY= removes the label."
        ),
    ],
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Sets labels of a region, customer, service or backend server."""
    if kind not in LABELLED:
        raise CliError(
            f"unknown kind {kind!r}; known: {', '.join(LABELLED)}",
            ExitCode.WRONG_INPUT,
        )
    labels = parse_pairs(pairs)
    accepted = run(apply_edit(store, set_labels(kind, name, labels)))
    emit(
        {"kind": kind, "name": name, "version": accepted.version},
        output,
    )


@selector_app.command("put")
def put(
    name: Annotated[str, typer.Argument(help="Name of the selector.")],
    allow: Annotated[
        list[str],
        typer.Option(help="Allowed region; repeatable, first preferred."),
    ],
    customer_label: LabelConditions = [],  # noqa: B006
    service_label: LabelConditions = [],  # noqa: B006
    caller_region: Annotated[
        list[str], typer.Option(help="Region of callers; repeatable.")
    ] = [],  # noqa: B006
    position: Annotated[
        int | None,
        typer.Option(min=0, help="Index in the list; the first match decides."),
    ] = None,
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Adds a selector or replaces the one with the same name."""
    selector = Selector(
        name=name,
        customer_labels=parse_pairs(customer_label),
        service_labels=parse_pairs(service_label),
        caller_regions=caller_region,
        allowed_regions=allow,
    )
    accepted = run(apply_edit(store, put_selector(selector, position)))
    emit({"selector": name, "version": accepted.version}, output)


@selector_app.command("remove")
def remove(
    name: Annotated[str, typer.Argument(help="Name of the selector.")],
    store: StoreAddresses = DEFAULT_STORE,
    output: Output = TEXT,
) -> None:
    """Removes a selector."""
    accepted = run(apply_edit(store, remove_selector(name)))
    emit({"selector": name, "version": accepted.version}, output)
