"""Opens a listening socket before the libraries of a role are imported.

A start takes about half a second, most of it imports.  Connections that arrive meanwhile wait in the socket's
accept queue instead of being refused, which matters when all schedulers restart at once.
"""

import socket
from dataclasses import dataclass
from pathlib import Path

BACKLOG = 1024  # maximum connections in the accept queue
SEND_BUFFER_BYTES = 32 << 10  # of sockets that carry HTTP


@dataclass(frozen=True, slots=True)
class SocketBuffers:
    """Options of a listener's sockets; the kernel lets half as much again arrive unread."""

    receive_bytes: int
    send_bytes: int


HTTP_BUFFERS = SocketBuffers(16 << 10, SEND_BUFFER_BYTES)
RPC_BUFFERS = SocketBuffers(128 << 10, 32 << 10)
_opened: dict[str, socket.socket] = {}


def open_early(settings_path: str, listener: str) -> None:
    """Open the socket of a listener (`Frontend`) at the address given in a settings file.

    Errors are ignored here: the validation of the settings reports those of the file.
    """
    import yaml

    try:
        raw = yaml.load(Path(settings_path).read_text(), getattr(yaml, "CSafeLoader", yaml.SafeLoader))
        address = raw["Listen"][listener]
        _opened[address] = open_listener(address)
    except (OSError, yaml.YAMLError, LookupError, TypeError, ValueError, AttributeError):
        return


def open_listener(address: str, buffers: SocketBuffers = HTTP_BUFFERS) -> socket.socket:
    """Return a listening socket for HOST:PORT.  Raises OSError or ValueError."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # its connections inherit these, also those that wait to be accepted
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffers.receive_bytes)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffers.send_bytes)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener


def take(address: str) -> socket.socket | None:
    """Return and forget the socket opened early for an address; None if there is none."""
    return _opened.pop(address, None)
