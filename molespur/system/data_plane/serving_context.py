"""What all requests at one scheduler share: state, connections, counts, error responses, freed handles."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count

from ..errors import ERROR_RESPONSES, ErrorKind
from ..inbound.memory import MemoryBudget, budget_bytes
from ..settings.configuration import Service
from .request_counts import RequestCounts
from .state import DataPlaneState
from .upstream import CLOSE_CONNECTION, UpstreamError, Upstreams

FREE_HANDLE_TIMEOUT_S = 1.0
FREE_REMAINING_TIMEOUT_S = 0.4  # within what is left of the grace period


class ServingContext:
    """Shared by the ingress and the calls of its requests."""

    def __init__(self, state: DataPlaneState, upstreams: Upstreams, clock: Callable[[], float]):
        self.state, self.upstreams, self.clock = state, upstreams, clock
        self.memory = MemoryBudget(budget_bytes(state.settings.limits.memory_mb))
        self.stopping = False  # a stop has been requested: responses close their connections
        self.closing = False  # the listener is closed: a request that becomes complete now is refused
        self.call_keys = count()  # keys of the calls to workers
        self.counts = RequestCounts()
        self._background: set[asyncio.Task] = set()

    async def respond_with_error(self, send, kind: ErrorKind) -> None:
        """Send the error response of this kind."""
        answer = ERROR_RESPONSES[kind]
        self.counts.responses[str(answer.status), kind.value] += 1
        headers = [(b"content-length", b"0")]
        if answer.retry_after_s is not None:
            headers.append((b"retry-after", f"{answer.retry_after_s:.3f}".encode()))
        if self.stopping or answer.closes_connection:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    def free_handle(self, address: str, handle: str, service: Service) -> None:
        """Free a KV cache that no worker will take, in the background."""
        task = asyncio.get_running_loop().create_task(self._free_handle(address, handle, service))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def free_remaining_handles(self) -> None:
        """Wait for the calls that free KV caches, before the process ends."""
        if self._background:
            await asyncio.wait(self._background, timeout=FREE_REMAINING_TIMEOUT_S)

    async def _free_handle(self, address: str, handle: str, service: Service) -> None:
        target = f"/api/kv-handle/{handle}".encode()
        with suppress(UpstreamError, TimeoutError):
            async with asyncio.timeout(FREE_HANDLE_TIMEOUT_S):
                response = await self.upstreams.call(
                    address,
                    "DELETE",
                    target,
                    [(b"Host", address.encode()), CLOSE_CONNECTION],
                    b"",
                    self.state.max_connections(service),
                )
                try:
                    await response.read()
                finally:
                    await response.close()
