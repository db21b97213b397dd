"""A listening socket opened before the libraries of a role are imported.

A start takes about half a second, most of it imports.  Connections that come meanwhile wait in the socket's
queue in place of being refused, which matters when all schedulers start again at once.
"""

import socket
from pathlib import Path

BACKLOG = 1024  # connections that may wait to be accepted
_opened: dict[str, socket.socket] = {}


def open_early(settings_path: str, listener: str) -> None:
    """Open the socket that a settings file names for a listener (`Frontend`).

    Whatever is wrong with the file is left to the check of the settings, which names it.
    """
    import yaml

    try:
        raw = yaml.load(Path(settings_path).read_text(), getattr(yaml, "CSafeLoader", yaml.SafeLoader))
        address = raw["Listen"][listener]
        _opened[address] = listening(address)
    except (OSError, yaml.YAMLError, LookupError, TypeError, ValueError, AttributeError):
        return


def listening(address: str) -> socket.socket:
    """A socket that listens at HOST:PORT.  Raises OSError or ValueError."""
    host, _, port = address.rpartition(":")
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, int(port)))
        opened.listen(BACKLOG)
        opened.setblocking(False)
    except BaseException:
        opened.close()
        raise
    return opened


def take(address: str) -> socket.socket | None:
    """The socket that was opened for this address, once; None when there is none."""
    return _opened.pop(address, None)
