"""An event loop whose clock jumps, so that runs are quick and repeatable."""

from __future__ import annotations

import asyncio
import selectors


class _Selector(selectors.DefaultSelector):
    """Lets virtual time pass where a real loop would wait."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is due any more"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        self.selector = _Selector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.now_s

    def now(self):
        """Returns the time as a `radishmux.clock.Clock` does."""
        return self.selector.now_s


def run(main):
    """Runs a coroutine function that takes the loop, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main(runner.get_loop()))
