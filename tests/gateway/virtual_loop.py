"""An event loop in virtual time, for fast and repeatable simulations."""

from __future__ import annotations

import asyncio
import selectors


class _Selector(selectors.DefaultSelector):
    """Advances the virtual time where a real event loop would wait."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "no timer is pending"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances to the next timer at once."""

    def __init__(self):
        self.selector = _Selector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.now_s

    def now(self):
        """Returns the virtual time, as required by `radishmux.clock.Clock`."""
        return self.selector.now_s


def run(main):
    """Runs a coroutine function in virtual time.

    Args:
        main: Coroutine function that is called with the loop.

    Returns:
        The result of the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main(runner.get_loop()))
