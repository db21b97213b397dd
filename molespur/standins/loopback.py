"""Nets of loopback hosts, 127.N.0.0/16, for fleets of real processes that run beside one another."""

import random
import socket
from collections.abc import Callable, Iterable

LOCK_PORT = 7946
DRAWN_NETS = (60, 251)  # those below are named by callers


def drawn_nets() -> list[int]:
    """All nets that are not named by callers, in random order."""
    nets = list(range(*DRAWN_NETS))
    random.shuffle(nets)
    return nets


def reserved_net(
    nets: Iterable[int] | None = None, usable: Callable[[int], bool] = lambda _net: True
) -> tuple[socket.socket, int]:
    """The first of these nets that no other fleet here has, and the socket that keeps it.

    `nets`: drawn ones where none are given.  Raises OSError where all are taken.
    """
    for net in drawn_nets() if nets is None else nets:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.{net}.255.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        if usable(net):
            return lock, net
        lock.close()
    raise OSError("every net of loopback hosts is taken")


def can_listen(host: str, port: int) -> bool:
    """Whether nobody listens at an address."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
