"""An event loop whose time passes only while nothing is left to do.

Tests of decisions that take time run at once on it, and load on the machine
does not change what they measure. Nothing outside of the
process can be waited for.
"""

import asyncio
import functools
import selectors

from greengagedale import clocks


class _SkippingSelector(selectors.DefaultSelector):
    """Skips the time for which it would wait."""

    def __init__(self):
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout is not None and timeout > 0.0:
            self.skipped_s += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that skips the time until its next timer."""

    def __init__(self):
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self):
        return self._skipping.skipped_s

    def close(self):
        """Cancels what still runs, so that no later test logs its end."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        super().close()


class LoopClock(clocks.Clock):
    """The time of an event loop.

    Attributes:
        loop: The event loop.
    """

    def __init__(self, loop):
        self.loop = loop

    def now_ms(self):
        return 1000.0 * self.loop.time()


def in_virtual_time(test):
    """Runs an asynchronous test on the loop of its bench's clock."""

    @functools.wraps(test)
    def run(bench, **fixtures):
        bench.clock.loop.run_until_complete(test(bench, **fixtures))

    return run
