"""hypercorn's settings, as all HTTP listeners of the fleet share them."""

import logging as standard_logging

from hypercorn.config import Config

MAX_HEADER_BYTES = 64 << 10
MAX_PIECES_READ_AHEAD = 1  # of a body, ahead of the application; with more the client is not read


def http_config() -> Config:
    """Return the hypercorn settings that all servers of the fleet share."""
    config = Config()
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.max_app_queue_size = MAX_PIECES_READ_AHEAD
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = standard_logging.getLogger("hypercorn")
    config.keep_alive_max_requests = 1_000_000_000
    return config
