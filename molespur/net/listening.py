"""The sockets that the program listens on."""

import errno

import trio

from ..config import ConfigError

BACKLOG = 1024
BIND_S = 5.0  # the address may still be held by the process before us


def _bind(address: tuple[str, int], shared: bool) -> trio.SocketListener:
    sock = trio.socket.socket()
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEPORT, 1)
        # numeric addresses only: nothing is looked up
        sock._sock.bind(address)
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return trio.SocketListener(sock)


async def open_listener(address: tuple[str, int], key: str, shared: bool = False) -> trio.SocketListener:
    """Listen on this address only, waiting a little for it to come free.

    A shared one may be listened on by a second process of ours, which is to replace this one.
    """
    until = trio.current_time() + BIND_S
    while True:
        try:
            return _bind(address, shared)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or trio.current_time() > until:
                raise ConfigError(f"{key}: {address}: {problem}") from None
        await trio.sleep(0.05)
