"""The sockets that the program listens on."""

import contextlib
import errno

import trio

from .. import logs
from ..config import ConfigError

log = logs.get(__name__)
BACKLOG = 1024
ACCEPT_AGAIN_S, ACCEPT_AGAIN_MOST_S = 0.01, 0.1  # without descriptors
BIND_S = 5.0  # the address may still be held by the process before us


async def _bind(address: tuple[str, int], shared: bool) -> trio.SocketListener:
    found = await trio.socket.getaddrinfo(*address, type=trio.socket.SOCK_STREAM)
    family, *_, place = found[0]
    sock = trio.socket.socket(family)
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        if shared:
            # a platform without it serves all the same, but is not replaced beside itself
            with contextlib.suppress(OSError):
                sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEPORT, 1)
        await sock.bind(place)
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return trio.SocketListener(sock)


async def next_connection(listener, event: str):
    """The next connection; one that was reset before it was taken is logged and passed over.

    Guards against a loop that dies of it, and against one that spins, and floods the log, where the process
    has no descriptor left (the reserves are there so that it has).
    """
    wait_s = ACCEPT_AGAIN_S
    while True:
        try:
            return await listener.accept()
        except OSError as problem:
            if problem.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                log.warning(event, why=str(problem))
                await trio.lowlevel.checkpoint()
                continue
            if wait_s == ACCEPT_AGAIN_S:
                log.warning(event, why=str(problem))
            await trio.sleep(wait_s)
            wait_s = min(2 * wait_s, ACCEPT_AGAIN_MOST_S)


async def open_listener(address: tuple[str, int], key: str, shared: bool = False) -> trio.SocketListener:
    """Listen on this address only, waiting a little for it to come free.

    A shared one may be listened on by a second process of ours, which is to replace this one.
    """
    until = trio.current_time() + BIND_S
    while True:
        try:
            return await _bind(address, shared)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or trio.current_time() > until:
                raise ConfigError(f"{key}: {address}: {problem}") from None
        await trio.sleep(0.05)
