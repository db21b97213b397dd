"""How long a call to a worker is waited for: as long as the worker answers anything at all."""

import asyncio
from contextlib import asynccontextmanager

from ...policy.tracking import WorkerTrack
from .exchange import Failure
from .upstream import UpstreamError


class Patience:
    """Ends a call whose worker has fallen silent; a worker that answers other calls is merely busy.

    Times are seconds on the loop's clock, but for `WorkerTrack.heard_at`: ms on the caller's clock.
    """

    def __init__(self, seconds: float, worker: WorkerTrack, clock, timeout: asyncio.Timeout):
        self._seconds, self._worker, self._clock, self._timeout = seconds, worker, clock, timeout
        self._loop = asyncio.get_running_loop()
        self._asked_at = clock()
        self._timer = self._loop.call_later(seconds, self._look)

    def _look(self) -> None:
        if self._worker.heard_at > self._asked_at:
            self._asked_at = self._clock()
            self._timer = self._loop.call_later(self._seconds, self._look)
        else:
            self._timeout.reschedule(self._loop.time())

    def answered(self, pause: float) -> None:
        """The worker has begun to answer, or goes on to: from now on a pause this long is too much."""
        self._timer.cancel()
        self._timeout.reschedule(self._loop.time() + pause)

    def stop(self) -> None:
        """The call is over."""
        self._timer.cancel()


@asynccontextmanager
async def patience(seconds: float | None, worker: WorkerTrack, clock):
    """Wait within for a call to a worker; gives a `Patience`, or None where there is no limit.

    Raises UpstreamError when the worker has said nothing at all for so long.
    """
    if seconds is None:
        yield None
        return
    waiting = None
    try:
        async with asyncio.timeout(None) as timeout:
            waiting = Patience(seconds, worker, clock, timeout)
            yield waiting
    except TimeoutError as error:
        if not timeout.expired():
            raise
        raise UpstreamError(Failure.MAY_HAVE_RUN, "the worker has fallen silent") from error
    finally:
        if waiting is not None:
            waiting.stop()
