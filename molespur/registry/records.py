"""Workers' records as a registry holds them.  Pure: a value in, a record or a named fault out.

A record is a JSON object with what the platform's discovery tells: uid, endpoint, az, model, pod_group, state
(active, leaving), capacity_hint, boot_ms.  Keys it does not know are passed over.
"""

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from ..config import ConfigError, parse_address
from ..interface import Lifecycle, WorkerEntry

UID_MOST = 128  # characters
Name = Annotated[str, msgspec.Meta(max_length=UID_MOST)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class Record(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """One worker.  Times are Unix milliseconds; a boot time of 0 is long ago."""

    endpoint: str
    uid: Name = ""
    az: Name = ""
    model: Name = ""
    pod_group: int = 0
    state: Literal["active", "leaving"] = "active"
    capacity_hint: Figure = 1.0
    boot_ms: Figure = 0.0

    def entry(self, from_unix) -> WorkerEntry:
        """In the decision module's terms."""
        life = Lifecycle.IN_SERVICE if self.state == "active" else Lifecycle.DRAINING
        return WorkerEntry(
            self.uid, self.az, self.model, self.pod_group, life, self.capacity_hint, from_unix(self.boot_ms)
        )


@dataclass(frozen=True, slots=True)
class Unfit:
    """Why a value is no record."""

    why: str


_decode = msgspec.json.Decoder(Record).decode


def parse(key: str, value: bytes, most: int = 4096) -> Record | Unfit:
    """The record under a key; its uid is the key's last part where it names none."""
    if len(value) > most:
        return Unfit(f"{len(value)} bytes, {most} at most")
    try:
        record = _decode(value)
        parse_address(record.endpoint, "endpoint")
    except RecursionError:
        return Unfit("nested too deep")
    except (msgspec.DecodeError, ConfigError, UnicodeDecodeError) as problem:
        return Unfit(str(problem)[:200])
    if not record.uid:
        uid = key.rsplit("/", 1)[-1]
        if not 0 < len(uid) <= UID_MOST:
            return Unfit(f"no uid, and the key's last part has not 1 to {UID_MOST} characters")
        record = msgspec.structs.replace(record, uid=uid)
    return record


def encode(record: Record) -> bytes:
    """The value to store."""
    return msgspec.json.encode(record)
