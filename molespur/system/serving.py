"""Serves an ASGI application with hypercorn."""

import asyncio
import logging as standard_logging

from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config

from . import early_listener

KEEP_ALIVE_S = 30.0
GRACEFUL_SHUTDOWN_S = 1.0
MAX_HEADER_BYTES = 64 << 10
# pieces of a body (64 KiB at most) that are read ahead of the application; with more the client is not read
MAX_PIECES_READ_AHEAD = 2


def http_config(keep_alive_s: float = KEEP_ALIVE_S) -> Config:
    """Return the hypercorn settings that all servers of the fleet share."""
    config = Config()
    config.keep_alive_timeout = keep_alive_s
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.max_app_queue_size = MAX_PIECES_READ_AHEAD
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = standard_logging.getLogger("hypercorn")
    config.backlog = early_listener.BACKLOG
    config.keep_alive_max_requests = 1_000_000_000
    config.h11_pass_raw_headers = True
    return config


async def serve(
    app,
    address: str,
    stop: asyncio.Event,
    keep_alive_s: float = KEEP_ALIVE_S,
    graceful_s: float = GRACEFUL_SHUTDOWN_S,
) -> None:
    """Serve until the event is set, then give open requests `graceful_s` seconds to complete."""
    config = http_config(keep_alive_s)
    listener = early_listener.take(address)
    config.bind = [address] if listener is None else [f"fd://{listener.detach()}"]
    config.graceful_timeout = graceful_s
    await hypercorn_serve(app, config, shutdown_trigger=stop.wait)
