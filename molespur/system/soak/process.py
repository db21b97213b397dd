"""One process of a soak: the program itself, on a disk that notes how far it is synced.

Run as `python -m molespur.system.soak.process ROLE [OPTIONS]`.
"""

import signal
import sys


def main() -> int:
    """Run the program.  A SIGHUP is ignored from here on, as in the program's own entry point."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ...__main__ import main as run_program
    from ..control_plane import role
    from .disk import SyncNotingStore

    role.Store = SyncNotingStore
    return run_program()


if __name__ == "__main__":
    sys.exit(main())
