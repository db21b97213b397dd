"""What a process holds: its resident memory, the bytes in its sockets, and its sockets."""

import os
import socket
import struct
from dataclasses import dataclass
from pathlib import Path

LISTENING = "0A"


@dataclass(frozen=True, slots=True)
class Usage:
    """A sample of one process."""

    resident_bytes: int
    unread_bytes: int  # arrived and not read yet, also on connections that are not accepted yet
    unsent_bytes: int  # of answers, in the send buffers of its sockets
    sockets: int

    @property
    def memory_bytes(self):
        """All that counts as memory of the process."""
        return self.resident_bytes + self.unread_bytes + self.unsent_bytes


def usage(pid, host):
    """The usage of a process whose listeners have the address `host` to themselves.

    Raises FileNotFoundError or ProcessLookupError if it has ended.
    """
    inodes = _socket_inodes(pid)
    unread = unsent = 0
    host_hex = f"{struct.unpack('=I', socket.inet_aton(host))[0]:08X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        belongs = fields[1].startswith(host_hex) or fields[9] in inodes
        if not belongs or fields[3] == LISTENING:
            continue
        sent, received = fields[4].split(":")
        unsent += int(sent, 16)
        unread += int(received, 16)
    return Usage(_resident_bytes(pid), unread, unsent, len(inodes))


def _socket_inodes(pid):
    inodes = set()
    folder = f"/proc/{pid}/fd"
    for name in os.listdir(folder):
        try:
            target = os.readlink(f"{folder}/{name}")
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[len("socket:[") : -1])
    return inodes


def _resident_bytes(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    return next((int(line.split()[1]) << 10 for line in status.splitlines() if line.startswith("VmRSS")), 0)
