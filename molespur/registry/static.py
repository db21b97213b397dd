"""A static file of workers: a list of records under `workers`, in TOML or JSON."""

import msgspec

from .model import Item
from .view import View, rebuilt


class _File(msgspec.Struct, forbid_unknown_fields=True):
    workers: list[dict]


def load(path: str, revision: int, most: int = 20_000) -> View:
    """The view that a file tells, all of it.  Raises ValueError that names what is wrong."""
    try:
        with open(path, "rb") as file:
            data = file.read()
        decode = msgspec.toml.decode if path.endswith(".toml") else msgspec.json.decode
        given = decode(data, type=_File)
    except OSError as problem:
        raise ValueError(problem.strerror) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise ValueError(str(problem)) from None
    items = [
        Item(str(worker.get("uid", f"workers[{n}]")), msgspec.json.encode(worker), n, revision)
        for n, worker in enumerate(given.workers)
    ]
    if len({item.key for item in items}) < len(items):
        raise ValueError("a uid that stands twice")
    view, _, troubles = rebuilt(View(), "file", revision, items, most=most)
    if troubles:
        raise ValueError("; ".join(f"{t.key}: {t.text}" for t in troubles[:3]))
    return view
