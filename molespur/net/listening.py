"""Opens listening sockets and accepts connections from them."""

import contextlib
import errno

import trio

from .. import logs
from ..config import ConfigError

log = logs.get(__name__)
BACKLOG = 1024
MIN_ACCEPT_RETRY_S, MAX_ACCEPT_RETRY_S = 0.01, 0.1  # delay before the next try without free descriptors
BIND_TIMEOUT_S = 5.0  # the predecessor process may still hold the address


async def _bind(address: tuple[str, int], shared: bool) -> trio.SocketListener:
    found = await trio.socket.getaddrinfo(*address, type=trio.socket.SOCK_STREAM)
    family, *_, bind_address = found[0]
    sock = trio.socket.socket(family)
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        if shared:
            # Without SO_REUSEPORT the scheduler still works, but no second process can take over from it.
            with contextlib.suppress(OSError):
                sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEPORT, 1)
        await sock.bind(bind_address)
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return trio.SocketListener(sock)


async def next_connection(listener, event: str):
    """Accept the next connection.  Logs and skips one that was reset before it was accepted.

    A failed accept must not end the caller's loop.  If the process has no free descriptor, which its reserve
    should prevent, the retry delay keeps the loop from spinning and from flooding the log.
    """
    wait_s = MIN_ACCEPT_RETRY_S
    while True:
        try:
            return await listener.accept()
        except OSError as problem:
            if problem.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                log.warning(event, why=str(problem))
                await trio.lowlevel.checkpoint()
                continue
            if wait_s == MIN_ACCEPT_RETRY_S:
                log.warning(event, why=str(problem))
            await trio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_ACCEPT_RETRY_S)


async def open_listener(address: tuple[str, int], key: str, shared: bool = False) -> trio.SocketListener:
    """Listen on this address, waiting up to BIND_TIMEOUT_S for it to become free.

    On a shared address a second process can listen too: the successor of this one.
    """
    deadline = trio.current_time() + BIND_TIMEOUT_S
    while True:
        try:
            return await _bind(address, shared)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or trio.current_time() > deadline:
                raise ConfigError(f"{key}: {address}: {problem}") from None
        await trio.sleep(0.05)
