"""Clocks of tests, and an event loop that jumps to its next timer."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the loop's clock by the time that it would have waited."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('nothing is scheduled any more')
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs code that sleeps and uses timeouts, without I/O."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self):
        return self._jumping_selector.now


class LoopClock:
    """Clock of the running loop."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return self.monotonic()


class ManualClock:
    """Clock that a test advances."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


def run_virtual(main):
    """Run a coroutine on a new loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
