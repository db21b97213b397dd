"""molespur: a scheduler that pushes jobs to workers, and a router fleet for LLM requests."""

from importlib import import_module

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.2.0"
_MODULES = {"Dispatcher": ".logic", "Settings": ".interface"}


def __getattr__(name: str):
    """Import the name's module on first use: the router fleet needs neither of them at its start."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name], __name__), name)
