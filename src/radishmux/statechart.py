"""State machines defined in JSON files.

A file lists states, the initial state and transitions, in the format of the
`transitions` library.
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
    """Returns the content of `statecharts/<name>.json`.

    Raises:
        FileNotFoundError: There is no such file.
    """
    folder = importlib.resources.files("radishmux") / "statecharts"
    return msgspec.json.decode((folder / f"{name}.json").read_bytes())


class Chart:
    """A state machine defined in a chart file.

    Args:
        name: Name of the file, without `.json`.
        initial: State to start in; by default the one in the file.

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
        """Performs the transition for `event`, if the current state has one.

        Returns:
            Whether there was a transition; if not, the state is unchanged.
        """
        if event not in self._machine.get_triggers(self.state):
            return False
        self.trigger(event)  # Added to the model by the library.
        return True
