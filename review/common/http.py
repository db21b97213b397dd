"""Just enough HTTP/1.1 on asyncio streams for the stand-ins: clients, workers and the operator."""

import asyncio
import json
from dataclasses import dataclass, field

CALL_S = 1.0
MAX_REDIRECTS = 2


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True  # False: the connection ended before the body did

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers.  Raises IncompleteReadError at the end of the connection."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {name.strip().lower(): value.strip() for name, _, value in headers})


async def read_chunks(reader: asyncio.StreamReader):
    """The chunks of a chunked body.  Raises IncompleteReadError if it ends too soon."""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one whole message, or as much as comes of it."""
    message = await read_head(reader)
    parts = []
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            async for part in read_chunks(reader):
                parts.append(part)
        else:
            parts.append(await reader.readexactly(int(message.headers.get("content-length", "0"))))
    except (asyncio.IncompleteReadError, OSError) as error:
        parts.append(getattr(error, "partial", b""))
        message.whole = False
    message.body = b"".join(parts)
    return message


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to HOST:PORT."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CALL_S):
        return await asyncio.open_connection(host, int(port))


async def call(address: str, method: str, path: str, body: object = None, **headers: str) -> Message:
    """One call with a JSON body on a new connection.  Raises OSError, TimeoutError or IncompleteReadError."""
    data = b"" if body is None else json.dumps(body).encode()
    reader, writer = await connect(address)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        async with asyncio.timeout(CALL_S):
            return await read_message(reader)
    finally:
        writer.close()


async def call_any(
    addresses: list[str], method: str, path: str, body: object = None, **headers: str
) -> Message:
    """One call to the first scheduler that gives a clear answer, as the pages describe an operator's call."""
    for number in range(60):
        address = addresses[number % len(addresses)]
        for _ in range(MAX_REDIRECTS + 1):
            try:
                answer = await call(address, method, path, body, **headers)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                break
            if answer.status == 307:
                address = answer.headers["location"].removeprefix("http://").partition("/")[0]
                continue
            if answer.status < 500 and answer.status not in (404, 408, 429):
                return answer
            break
        await asyncio.sleep(0.3)
    raise TimeoutError(f"no scheduler has answered {method} {path}")
