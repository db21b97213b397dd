"""The end of a soak: one worker of each service is left, and has to serve after the recovery time.

There is no traffic in between: a service has to recover without it.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count

from .clients import HOST, MODEL_HEADERS, PATHS, Target
from .operators import MODEL_SERVICE, SERVICE
from .records import FinalAnswer, Log, RequestKind

RECOVERY_S = 12.0  # RecoveryS
REQUESTS = 4  # for each service at each scheduler, one after the other
DEADLINE_S = 4.0
KINDS = {SERVICE: RequestKind.IDEMPOTENT, MODEL_SERVICE: RequestKind.MODEL}


class FinalRequests:
    """Requests to every service at every scheduler."""

    def __init__(self, log: Log, clock: Callable[[], float], targets: Callable[[], list[Target]]):
        self.log, self.clock, self.targets = log, clock, targets
        self._numbers = count(1)

    async def send(self) -> None:
        """Send all of them and record the outcomes."""
        await asyncio.gather(
            *(self._send_to(target, service) for target in self.targets() for service in KINDS)
        )

    async def _send_to(self, target: Target, service: str) -> None:
        for _ in range(REQUESTS):
            at, status = self.clock(), 0
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                async with asyncio.timeout(DEADLINE_S):
                    status = await self._send_one(target, KINDS[service])
            self.log.final_answers.append(FinalAnswer(at, target.name, service, status))

    async def _send_one(self, target: Target, kind: RequestKind) -> int:
        """Send one request on a connection of its own; return the status of its complete answer."""
        reader, writer = await asyncio.open_connection(target.host, target.port)
        try:
            lines = [
                f"POST {PATHS[kind]}x HTTP/1.1",
                f"Host: {HOST}",
                f"Molespur-Attempt-Id: probe-final-{next(self._numbers)}",
                f"Molespur-Deadline-Ms: {int(DEADLINE_S * 1000)}",
                "Content-Length: 0",
                "Connection: close",
            ]
            if kind is RequestKind.MODEL:
                lines += MODEL_HEADERS
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            status = int((await reader.readuntil(b"\r\n")).split(b" ", 2)[1])
            await reader.read()
            return status
        finally:
            writer.transport.abort()
