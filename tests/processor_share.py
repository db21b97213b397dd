"""The share of their runnable time for which processes had a processor, by the kernel's accounting (Linux).

Bounds on real processes in real time assume a machine that lets them run.  On a busy machine they wait for a
processor; the kernel counts for how long (`/proc/PID/task/*/schedstat`: nanoseconds run, nanoseconds waited
while runnable).
"""

import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FULL_BOUND_SHARE = 0.8  # from this share on a bound applies in full


@dataclass(frozen=True)
class ProcessorTime:
    """Total times of some processes, in ns."""

    ran: int = 0
    waited: int = 0

    def share_since(self, earlier: "ProcessorTime") -> float:
        """Time run over time runnable since an earlier reading; 1 where both are 0."""
        ran, waited = self.ran - earlier.ran, self.waited - earlier.waited
        return ran / (ran + waited) if ran + waited > 0 else 1.0


def processor_time(pids: Iterable[int]) -> ProcessorTime:
    """The times of these processes and of this one, over all their threads."""
    ran = waited = 0
    for pid in {os.getpid(), *pids}:
        for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
            try:
                fields = path.read_text().split()
            except OSError:
                continue  # the thread has ended
            ran += int(fields[0])
            waited += int(fields[1])
    return ProcessorTime(ran, waited)


def scaled(bound: float, share: float) -> float:
    """The bound for processes that had this share: reduced in proportion on a busy machine."""
    return bound * min(share / FULL_BOUND_SHARE, 1.0)
