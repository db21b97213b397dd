"""The operator's configuration over HTTP: get it, put it, compare it with a file."""

import difflib
import json
import time
from collections.abc import Callable, Sequence

import httpx

from ..errors import ErrorKind, FleetError

TIMEOUT_S = 4.0
REDIRECTS = 2
PAUSES_S = (0.0, 0.3, 0.9)  # before each round of all addresses
VERSION_UNKNOWN = 0


class ConfigurationClient:
    """Calls the control plane at the first of some addresses that gives a clear answer."""

    def __init__(
        self,
        addresses: Sequence[str],
        transport: httpx.BaseTransport | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._addresses, self._sleep = addresses, sleep
        self._client = httpx.Client(
            timeout=TIMEOUT_S, follow_redirects=True, max_redirects=REDIRECTS, transport=transport
        )

    def get(self) -> dict | None:
        """The newest configuration; None before the first.  Raises FleetError."""
        response = self._call("GET")
        return None if response.status_code == 404 else response.json()

    def put(self, body: bytes, base_version: int) -> None:
        """Put a configuration on top of a version.  The same call may be sent again.  Raises FleetError."""
        self._call("PUT", content=body, headers={"If-Match": str(base_version)})

    def _call(self, method: str, **arguments) -> httpx.Response:
        failures = []
        for pause, address in [(p, a) for p in PAUSES_S for a in self._addresses]:
            if pause and address == self._addresses[0]:
                self._sleep(pause)
            try:
                response = self._client.request(method, f"http://{address}/api/config", **arguments)
            except httpx.HTTPError as error:
                failures.append(f"{address}: {error!r}")
                continue
            if response.status_code < 300 or (method == "GET" and response.status_code == 404):
                return response
            said = f"{response.status_code}: {response.text.strip()}"
            if response.status_code == 412:
                raise FleetError(ErrorKind.VERSION_MISMATCH, said)
            if 400 <= response.status_code < 500:
                raise FleetError(ErrorKind.INVALID_CONFIGURATION, said)
            failures.append(f"{address}: {said}")
        raise FleetError(ErrorKind.OUTCOME_UNKNOWN, failures[-1] if failures else "no address is known")


def version_of(configuration: dict | None) -> int:
    """The version of a configuration; 0 for none."""
    return VERSION_UNKNOWN if configuration is None else int(configuration.get("Version", VERSION_UNKNOWN))


def difference(current: dict | None, proposed: dict) -> list[str]:
    """Lines of a unified diff from the current configuration to a proposed one; none when they are equal."""
    texts = [json.dumps(value or {}, indent=1, sort_keys=True).splitlines() for value in (current, proposed)]
    names = (f"version {version_of(current)}", f"version {version_of(proposed)}")
    return list(difflib.unified_diff(*texts, *names, lineterm=""))
