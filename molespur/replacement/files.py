"""The records of processes in a directory, each held by a lock that ends with its process."""

import contextlib
import errno
import fcntl
import os
import re
import stat

import msgspec

from .. import logs
from .view import TEXT_MOST, Record, parse

log = logs.get(__name__)
READ = os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
FILES_MOST = 256  # looked at in one go
_lock_name = re.compile(r"molespur-[0-9a-z.:_-]+-([0-9]+)\.lock").fullmatch


class Rendezvous:
    """This process's record among those of the others that serve the same address.

    Whatever stands in the directory harms nothing: what is not a plain file of ours is passed over, what is
    nobody's any more is removed, and where the directory can't be used this process is alone.
    """

    def __init__(self, directory: str, address: tuple[str, int]):
        self.directory, self._fd = directory, None
        self._stem = "molespur-{}_{}".format(*address).lower()
        self._own = f"{self._stem}-{os.getpid()}"

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    def open(self) -> bool:
        """Take the lock; False where the directory can't be used."""
        fresh = self._path(f"{self._own}.new")
        try:
            self._fd = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            # named only once it is locked: nobody takes it for a leftover
            os.rename(fresh, self._path(f"{self._own}.lock"))
        except OSError as problem:
            log.info("replacement.off", why=str(problem))
            self.close()
            return False
        return True

    def close(self) -> None:
        """Leave: the record and the lock go."""
        if self._fd is None:
            return
        for ending in (".lock", ".json", ".new"):
            with contextlib.suppress(OSError):
                os.unlink(self._path(self._own + ending))
        with contextlib.suppress(OSError):
            os.close(self._fd)
        self._fd = None

    def tell(self, record: Record) -> None:
        """Put this process's record where the others read it, whole."""
        if self._fd is None:
            return
        path = self._path(f"{self._own}.json")
        try:
            with open(f"{path}.new", "wb") as file:
                file.write(msgspec.json.encode(record))
            os.replace(f"{path}.new", path)
        except OSError as problem:
            log.warning("replacement.not_told", why=str(problem))

    def others(self) -> list[Record]:
        """The records of the other processes that live."""
        if self._fd is None:
            return []
        try:
            names = os.listdir(self.directory)
        except OSError:
            return []
        found = []
        for name in sorted(names)[:FILES_MOST]:
            match = _lock_name(name)
            if match and name.startswith(f"{self._stem}-") and name != f"{self._own}.lock":
                record = self._read(name.removesuffix(".lock"))
                if record is not None:
                    found.append(record)
        return found

    def _read(self, stem: str) -> Record | None:
        try:
            fd = os.open(self._path(f"{stem}.lock"), READ)
        except OSError:
            return None
        try:
            if not stat.S_ISREG(os.fstat(fd).st_mode):
                return None
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except OSError as problem:
                if problem.errno not in (errno.EWOULDBLOCK, errno.EACCES):
                    return None
                return self._record(stem)
            # guards against leftovers of a process that was killed: whoever had it is no more
            for ending in (".json", ".json.new", ".lock"):
                with contextlib.suppress(OSError):
                    os.unlink(self._path(stem + ending))
            return None
        finally:
            os.close(fd)

    def _record(self, stem: str) -> Record | None:
        try:
            fd = os.open(self._path(f"{stem}.json"), READ)
        except OSError:
            return None
        with open(fd, "rb") as file:
            if not stat.S_ISREG(os.fstat(fd).st_mode):
                return None
            return parse(file.read(TEXT_MOST))
