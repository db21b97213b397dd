"""An event loop whose time is the test's: timers fire in order as soon as no socket has anything to do.

Sockets are real ones on loopback within one process, where what is sent has arrived at once.
"""

import asyncio
import selectors

SETTLE_S = 0.001  # real time that the kernel may take to deliver what was sent
LONGEST_REAL_WAIT_S = 10.0  # with no timer and no byte left the test hangs: it fails after this long


class _VirtualSelector(selectors.DefaultSelector):
    """Gives what is ready, else lets the loop's time pass."""

    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        if timeout is None:
            return super().select(LONGEST_REAL_WAIT_S)
        ready = super().select(SETTLE_S)
        if not ready:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop on which hours pass at once."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        """Seconds since the loop was made."""
        return self._virtual.now


def clock():
    """Milliseconds of the running loop's time."""
    return asyncio.get_running_loop().time() * 1000.0


def run_virtual(coroutine, max_virtual_s=120.0):
    """Run a test's coroutine on a loop of its own; `max_virtual_s` of the loop's time is its bound."""

    async def bounded():
        async with asyncio.timeout(max_virtual_s):
            return await coroutine

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(bounded())
