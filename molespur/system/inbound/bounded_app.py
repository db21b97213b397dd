"""Reads the bodies of an application's requests within the memory budget, before the application runs.

An application of quart collects a body by itself, whatever the application does with it.  Here it gets the
body in one piece once all of it has come, and a request that is refused never reaches it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..errors import ERROR_RESPONSES, ErrorKind, FleetError
from .memory import MemoryBudget
from .request_body import ClientDisconnected, RequestBody, declared_length, respond_while_discarding

DEADLINE_MS = 10_000.0  # for a body, the wait for memory included
DEFAULT_MAX_BODY_BYTES = 64 << 10
BODY_COPIES = 3  # a body as it came, as the application collects it, and as it is given to its handler


VALUE_BYTES = 100  # of a JSON value once it is parsed


@dataclass(frozen=True, slots=True)
class BodyPolicy:
    """What a JSON body may take.  `copies`: how many times its length is held while it is processed."""

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    idle_timeout_s: float = DEADLINE_MS / 1000.0
    copies: int = BODY_COPIES

    def memory_for(self, body: bytes | bytearray) -> int:
        """The memory (bytes) that a body takes while it is processed, with the values parsed from it."""
        return self.copies * len(body) + VALUE_BYTES * _count_values(body)


class BoundedApp:
    """An ASGI application behind the memory budget.  `policy_for` gives the policy for a path."""

    def __init__(self, app, memory: MemoryBudget, policy_for: Callable[[str], BodyPolicy]):
        self._app, self._memory, self._policy_for = app, memory, policy_for

    async def __call__(self, scope, receive, send) -> None:
        """Serve a request (ASGI)."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        policy = self._policy_for(scope["path"])
        body = RequestBody(receive, declared_length(scope["headers"]), policy, self._memory, policy.copies)
        try:
            content = await self._read(body, policy)
            await self._app(scope, _replay(content, receive), send)
        except FleetError as error:
            await respond_while_discarding(body, send_error(send, error.kind))
        except ClientDisconnected:
            pass
        finally:
            body.release()

    async def _read(self, body: RequestBody, policy: BodyPolicy) -> bytes | bytearray:
        """Read a body, and reserve what its processing takes.  Raises FleetError or ClientDisconnected."""
        content = await body.read(DEADLINE_MS)
        needed = policy.memory_for(content)
        if needed > self._memory.max_large:
            raise FleetError(ErrorKind.BODY_TOO_LARGE)
        if content and not body.try_hold(needed):
            raise FleetError(ErrorKind.NO_MEMORY)
        return content


def _count_values(body: bytes | bytearray) -> int:
    """At least as many values as parsing a JSON text makes: each follows a comma or an opening bracket."""
    return sum(body.count(mark) for mark in (b",", b"[", b"{"))


def _replay(content: bytes | bytearray, receive):
    """A receive function that gives the body once, and then what the server reports."""
    messages = [{"type": "http.request", "body": bytes(content), "more_body": False}]

    async def receive_body():
        return messages.pop() if messages else await receive()

    return receive_body


async def send_error(send, kind: ErrorKind) -> None:
    """Send the response of an error kind (ASGI)."""
    response = ERROR_RESPONSES[kind]
    headers = [(b"content-length", b"0")]
    if response.retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % response.retry_after_s))
    if response.closes_connection:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": b"", "more_body": False})
