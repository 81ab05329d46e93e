"""Loads state charts from JSON files and runs them.

A chart file names its states, the initial one and its transitions, in the
form that the `transitions` library takes.
"""

from __future__ import annotations

import importlib.resources
from functools import cache
from typing import Any

import msgspec
from transitions import Machine, MachineError

__all__ = ["Chart", "MachineError", "load_chart"]


@cache
def load_chart(name: str) -> dict[str, Any]:
    """Returns the description in `statecharts/<name>.json`.

    Raises:
        FileNotFoundError: There is no such chart.
    """
    folder = importlib.resources.files("radishmux") / "statecharts"
    return msgspec.json.decode((folder / f"{name}.json").read_bytes())


class Chart:
    """One running state machine of a chart file.

    Attributes:
        state: Name of the current state.
    """

    state: str

    def __init__(self, name: str, initial: str | None = None) -> None:
        chart = load_chart(name)
        self._machine = Machine(
            model=self,
            states=chart["states"],
            transitions=chart["transitions"],
            initial=initial or chart["initial"],
            auto_transitions=False,
        )

    def fire(self, event: str) -> bool:
        """Takes the transition for `event`.

        Returns:
            Whether the state allows the event; if not, nothing changes.
        """
        if event not in self._machine.get_triggers(self.state):
            return False
        self.trigger(event)  # Added to the model by the library.
        return True
