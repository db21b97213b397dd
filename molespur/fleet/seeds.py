"""The seeds that a member joins the fleet through: the deployment's list and a seeds file."""

import msgspec

from ..config import ConfigError, parse_address
from .model import Address

MAX_FILE_BYTES = 1 << 20


def read_seeds(listed: list[str], path: str) -> tuple[Address, ...]:
    """The seeds of the list, then of the file (a JSON list of host:port), without duplicates.

    Raises ConfigError that names `fleet.seeds` or `fleet.seeds_file`.
    """
    found = [parse_address(text, "fleet.seeds") for text in listed]
    if path:
        try:
            with open(path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            if len(data) > MAX_FILE_BYTES:
                raise ConfigError(f"fleet.seeds_file: {path}: larger than {MAX_FILE_BYTES} bytes")
            texts = msgspec.json.decode(data, type=list[str])
        except OSError as problem:
            raise ConfigError(f"fleet.seeds_file: {path}: {problem.strerror}") from None
        except (msgspec.DecodeError, msgspec.ValidationError) as problem:
            raise ConfigError(f"fleet.seeds_file: {path}: not a JSON list of host:port: {problem}") from None
        found += [parse_address(text, f"fleet.seeds_file: {path}") for text in texts]
    return tuple(dict.fromkeys(found))
