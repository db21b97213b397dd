"""Leads the new connections of a shared address to one of the sockets that listen on it."""

import array
import socket
import struct

from .. import logs

log = logs.get(__name__)
SO_ATTACH_REUSEPORT_CBPF = 51
RETURN_CONSTANT = 0x06  # a classic BPF instruction: BPF_RET | BPF_K


def steer(sock, index: int) -> bool:
    """From now on the kernel gives new connections to the socket that came so many after the first.

    Where there is no such socket (any more) it spreads them over all as before, so this need not be undone.
    Tells whether the platform can do it.
    """
    program = array.array("B", struct.pack("=HBBI", RETURN_CONSTANT, 0, 0, index))
    address, _ = program.buffer_info()
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, address))
    except OSError as problem:
        log.info("replacement.no_filter", why=str(problem))
        return False
    return True
