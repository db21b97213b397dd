"""molespur: the decisions of a dispatcher that pushes jobs to workers."""

from importlib import import_module

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.2.0"
_HOMES = {"Dispatcher": ".logic", "Settings": ".interface"}


def __getattr__(name: str):
    """Import what is asked for: the router fleet needs neither at its start."""
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_HOMES[name], __name__), name)
