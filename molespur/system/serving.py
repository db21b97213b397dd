"""Serving an ASGI application with hypercorn, and the signals that a process of the fleet heeds."""

import asyncio
import logging as standard_logging
import signal

from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config

KEEP_ALIVE_S = 30.0
GRACEFUL_S = 1.0
BACKLOG = 1024


def wait_for_stop() -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def serve(
    app, address: str, stop: asyncio.Event, keep_alive_s: float = KEEP_ALIVE_S, graceful_s: float = GRACEFUL_S,
    header_bytes: int = 64 << 10,
) -> None:  # fmt: skip
    """Serve until the event is set, then let open requests end within `graceful_s` seconds."""
    config = Config()
    config.bind = [address]
    config.keep_alive_timeout = keep_alive_s
    config.graceful_timeout = graceful_s
    config.h11_max_incomplete_size = header_bytes
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = standard_logging.getLogger("hypercorn")
    config.backlog = BACKLOG
    config.keep_alive_max_requests = 1_000_000_000
    config.h11_pass_raw_headers = True
    await hypercorn_serve(app, config, shutdown_trigger=stop.wait)
