"""One process of a soak: the program itself, on a disk that notes how far it is synced.

Run as `python -m molespur.system.soak.process ROLE [OPTIONS]`.
"""

import sys

from ...__main__ import main
from ..control_plane import role
from .disk import SyncNotingStore

if __name__ == "__main__":
    role.Store = SyncNotingStore
    sys.exit(main())
