"""Where a member finds others to join by: the deployment's list and a file of them."""

import msgspec

from ..config import ConfigError, parse_address
from .model import Address

FILE_MOST = 1 << 20  # bytes of a seeds' file


def read_seeds(listed: list[str], path: str) -> tuple[Address, ...]:
    """The seeds of the list and of the file (a JSON list of host:port), each once, in that order.

    Raises ConfigError that names `fleet.seeds` or `fleet.seeds_file`.
    """
    found = [parse_address(text, "fleet.seeds") for text in listed]
    if path:
        try:
            with open(path, "rb") as file:
                data = file.read(FILE_MOST + 1)
            if len(data) > FILE_MOST:
                raise ConfigError(f"fleet.seeds_file: {path}: over {FILE_MOST} bytes")
            texts = msgspec.json.decode(data, type=list[str])
        except OSError as problem:
            raise ConfigError(f"fleet.seeds_file: {path}: {problem.strerror}") from None
        except (msgspec.DecodeError, msgspec.ValidationError) as problem:
            raise ConfigError(f"fleet.seeds_file: {path}: not a JSON list of host:port: {problem}") from None
        found += [parse_address(text, f"fleet.seeds_file: {path}") for text in texts]
    return tuple(dict.fromkeys(found))
