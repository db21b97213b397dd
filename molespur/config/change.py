"""From one configuration to the next while running: what a file must hold, and the rules meanwhile.  Pure."""

from collections.abc import Iterator
from dataclasses import replace

from ..interface import Effect, Group, JobClass, Settings
from .platform import ConfigError

FOLLOW_MS = 1500.0  # clients follow within 1.2 s: until then they go by the old settings


def check_whole(old: dict, new: dict, where: str = "LB_CONFIG") -> None:
    """Raise ConfigError if the new file lacks a key that the one in force has.

    Guards against a file with a piece missing: each absent key has a default, and together they would be
    other rules than anybody wrote.
    """
    for key in _missing(old, new):
        raise ConfigError(f"{where}: {key}: is missing, and the configuration in force has it")


def _missing(old, new, path: str = "") -> Iterator[str]:
    if not isinstance(old, dict) or not isinstance(new, dict):
        return
    for key, value in old.items():
        here = f"{path}.{key}" if path else key
        if key not in new:
            yield here
        elif key == "profiles":
            yield from _missing_of_classes(value, new[key], here)
        else:
            yield from _missing(value, new[key], here)


def _missing_of_classes(old, new, path: str) -> Iterator[str]:
    """Classes come and go; each has the keys that all had so far."""
    if not isinstance(old, list) or not isinstance(new, list):
        return
    had = [set(one) for one in old if isinstance(one, dict)]
    needed = set.intersection(*had) if had else set()
    for i, one in enumerate(new):
        if isinstance(one, dict):
            yield from (f"{path}[{i}].{key}" for key in sorted(needed - set(one)))


def between(old: Settings, new: Settings) -> Settings:
    """The settings that hold while clients follow: the stricter rules of both, and each class of either."""
    had = {c.name: c for c in old.classes}
    named = {c.name for c in new.classes}
    classes = [_stricter(had[c.name], c) if c.name in had else c for c in new.classes]
    classes += [c for c in old.classes if c.name not in named]
    return replace(
        new,
        classes=tuple(classes),
        max_attempts=min(old.max_attempts, new.max_attempts),
        may_cancel=old.may_cancel and new.may_cancel,
        may_probe=old.may_probe and new.may_probe,
        second_copies=old.second_copies and new.second_copies,
    )


def _stricter(old: JobClass, new: JobClass) -> JobClass:
    if (old.effect, old.group) == (new.effect, new.group):
        return replace(new, key_ttl_ms=min(old.key_ttl_ms, new.key_ttl_ms))
    # whichever binds, nothing is repeated or refused once it may have run; and a key may not be there yet
    return replace(new, effect=Effect.UNSAFE, group=Group.ALL, key_ttl_ms=0.0)
