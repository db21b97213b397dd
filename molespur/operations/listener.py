"""The operators' address on a socket: each connection brings one line and gets its answer."""

import trio

from .. import logs
from ..net.listening import next_connection
from ..net.upstream import CONNECTION_ERRORS
from .calls import LINE_MOST, Calls

log = logs.get(__name__)
CALLERS_MOST = 16  # connections at once; where more come, the one that has said nothing for longest goes
LINE_MS = 10_000.0  # for the line to arrive
WRITE_MS = 2_000.0  # for the caller to take the answer


class Operations:
    """Takes callers in, bounded in number, bytes and time: none delays another."""

    def __init__(self, calls: Calls, wheel, counters):
        self.calls, self.wheel, self.counters = calls, wheel, counters
        self.callers: dict[trio.CancelScope, None] = {}  # the first came first

    async def listen(self, listener, nursery) -> None:
        """Serve for good."""
        while True:
            nursery.start_soon(self.serve, await next_connection(listener, "ops.accept_failed"))

    async def serve(self, stream) -> None:
        """One call."""
        scope = trio.CancelScope()
        if len(self.callers) >= CALLERS_MOST:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.cancel()
            self.counters["ops.shed"] += 1
        self.callers[scope] = None
        try:
            with scope:
                line = b""
                with self.wheel.limit(LINE_MS) as late:
                    while b"\n" not in line and len(line) <= LINE_MOST:
                        data = await stream.receive_some(LINE_MOST + 1)
                        if not data:
                            break
                        line += data
                if late.cancelled_caught or not line:
                    self.counters["ops.silent"] += 1
                    return
                self.callers.pop(scope, None)  # it has said something: it is not one to go
                self.counters["ops.calls"] += 1
                text = "".join(f"{one}\n" for one in self.calls.answer(line.partition(b"\n")[0]))
                with self.wheel.limit(WRITE_MS):
                    await stream.send_all(text.encode())
                    await stream.send_eof()
        except CONNECTION_ERRORS:
            pass  # the caller has left
        except Exception:
            # guards against one call's surprise taking the scheduler down
            log.exception("ops.failed")
            self.counters["ops.exceptions"] += 1
        finally:
            self.callers.pop(scope, None)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
