"""Runs an ASGI application for each request of a connection, and passes the request's body to it in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from absl import logging
from hypercorn.asyncio.task_group import TaskGroup

Message = dict
DISCONNECT = "http.disconnect"


class MessageQueue:
    """The messages for one request's application.  Pieces of a body wait for room; a disconnect does not."""

    def __init__(self, max_pieces: int):
        self._max_pieces = max_pieces
        self._messages: deque[Message] = deque()
        self._is_disconnected = False
        self._changed = asyncio.Event()

    async def put(self, message: Message) -> None:
        """Add a message.  A disconnect is the last, and replaces what the application has not read."""
        if message["type"] == DISCONNECT:
            self._is_disconnected = True
            self._messages.clear()
        while len(self._messages) >= self._max_pieces and not self._is_disconnected:
            self._changed.clear()
            await self._changed.wait()
        if message["type"] != DISCONNECT and self._is_disconnected:
            return
        self._messages.append(message)
        self._changed.set()

    async def get(self) -> Message:
        """Take the next message, waiting for it."""
        while not self._messages:
            self._changed.clear()
            await self._changed.wait()
        message = self._messages.popleft()
        self._changed.set()
        return message


class AppTaskGroup(TaskGroup):
    """hypercorn's task group of a connection, with this package's queue."""

    async def spawn_app(self, app, config, scope, send) -> Callable[[Message], Awaitable[None]]:
        """Start the application for a request; returns how to pass messages to it (called by hypercorn)."""
        queue = MessageQueue(config.max_app_queue_size)
        self.spawn(_run_app, app, scope, queue.get, send)
        return queue.put


async def _run_app(app, scope, receive, send) -> None:
    try:
        await app(scope, receive, send, None, None)
    except Exception:
        logging.exception("error in the HTTP application")
    finally:
        await send(None)
