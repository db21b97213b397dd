"""An event loop with virtual time: when no socket is ready, time jumps to the next timer.

Sockets are real loopback sockets within one process, where data arrives as soon as it is sent.
"""

import asyncio
import selectors

DELIVERY_S = 0.001  # real time in which the kernel delivers data on loopback
MAX_REAL_WAIT_S = 10.0  # limits the wait of a test that hangs without a timer or pending data


class _VirtualSelector(selectors.DefaultSelector):
    """Returns the ready sockets; advances the virtual time if there are none."""

    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        if timeout is None:
            return super().select(MAX_REAL_WAIT_S)
        ready = super().select(DELIVERY_S)
        if not ready:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        """Return the virtual seconds since the loop was created."""
        return self._virtual.now


def clock():
    """Return the time of the running loop in milliseconds."""
    return asyncio.get_running_loop().time() * 1000.0


def run_virtual(coroutine, max_virtual_s=120.0):
    """Run a coroutine on a new loop; it fails after `max_virtual_s` of virtual time."""

    async def bounded():
        async with asyncio.timeout(max_virtual_s):
            return await coroutine

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(bounded())
