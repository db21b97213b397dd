"""What the kernel tells of a process."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_seconds(pid: int) -> float:
    """Processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def open_descriptors(pid: int) -> int:
    """How many file descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))
