"""What the clients of a crowd send.  Each is a coroutine function of a client and its number."""

from fleet_under_crowd import HOST, MAX_BODY_BYTES, ROUTE_PREFIX, TIMEOUT_MS

from molespur.system.rpc import molespur_pb2 as pb

PATH = ROUTE_PREFIX.encode()
SMALL_BODY_BYTES = 60_000  # passes beside large bodies that wait for memory
TINY_CHUNKS = 20_000
REQUESTS_AHEAD = 20_000
REQUESTS_AHEAD_BEFORE_RESET = 50
HEAD_BYTES = 60_000
OVER_LIMIT_BYTES = 64 << 20
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HTTP2_SETTINGS = bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
HTTP2_FRAME_BYTES = 16_384
HTTP2_STREAMS = 90
FRAME_LENGTH_BYTES = 4
RPC_FRAME_BYTES = 20 << 20


def head(*fields, path=PATH, method=b"POST", attempt=b"crowd", close=False):
    """The head of a request that is well formed."""
    lines = [
        b"%s %s HTTP/1.1" % (method, path), b"Host: " + HOST.encode(), b"Molespur-Attempt-Id: " + attempt,
        b"Molespur-Deadline-Ms: %d" % TIMEOUT_MS, *fields,
    ]  # fmt: skip
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join((*lines, b"", b""))


def length(size):
    """The field that announces a body's length."""
    return b"Content-Length: %d" % size


def body_short_of_its_end(size, **fields):
    """A body of an announced length that lacks its last byte."""

    async def behave(client, _number):
        await client.send(head(length(size), **fields))
        await client.send_zeros(size - 1)

    return behave


def chunks_short_of_their_end(size, piece, **fields):
    """A body in chunks of `piece` bytes that lacks its end."""

    async def behave(client, _number):
        await client.send(head(b"Transfer-Encoding: chunked", **fields))
        data = b"%x\r\n%s\r\n" % (piece, bytes(piece))
        for _ in range(size // piece):
            await client.send(data)

    return behave


async def body_piece_by_piece(client, _number):
    """A body of legal size in pieces, its announced end never sent."""
    await client.send(head(length(MAX_BODY_BYTES)))
    for _ in range(MAX_BODY_BYTES // 4096 - 1):
        await client.send(bytes(4096))


async def tiny_chunks(client, _number):
    """A body in chunks of one byte, its end never sent."""
    await client.send(head(b"Transfer-Encoding: chunked"))
    for _ in range(TINY_CHUNKS // 1000):
        await client.send(b"1\r\nx\r\n" * 1000)


async def whole_body(client, _number):
    """A complete body of the largest legal size, its answer unread."""
    await client.send(head(length(MAX_BODY_BYTES)))
    await client.send_zeros(MAX_BODY_BYTES)


def announced_over_the_limit(**fields):
    """A body far over the limit, announced and sent."""

    async def behave(client, _number):
        await client.send(head(length(OVER_LIMIT_BYTES), **fields))
        await client.send_zeros(OVER_LIMIT_BYTES)

    return behave


def head_without_end(size=HEAD_BYTES):
    """A head whose end is never sent."""

    async def behave(client, _number):
        line = b"X-Padding: " + b"x" * 1000 + b"\r\n"
        await client.send(b"POST %s HTTP/1.1\r\n" % PATH + line * (size // len(line)))

    return behave


async def chunk_extension_without_end(client, _number):
    """A chunk whose header line does not end."""
    await client.send(head(b"Transfer-Encoding: chunked") + b"1;" + b"x" * HEAD_BYTES)


async def trailer_without_end(client, _number):
    """Trailer fields that do not end."""
    await client.send(head(b"Transfer-Encoding: chunked") + b"0\r\n" + b"X: " + b"x" * HEAD_BYTES)


def requests_ahead(request, count=REQUESTS_AHEAD):
    """Many requests on one connection, their answers unread."""

    async def behave(client, _number):
        for _ in range(count // 100):
            await client.send(request * 100)

    return behave


def requests_ahead_then_reset(request, count=REQUESTS_AHEAD_BEFORE_RESET):
    """Requests sent ahead on a connection that is then reset."""

    async def behave(client, _number):
        await client.send(request * count)
        client.abort()

    return behave


def once(request):
    """One request, its answer unread."""

    async def behave(client, _number):
        await client.send(request)

    return behave


async def idle(_client, _number):
    """A connection on which nothing is sent."""


async def http2_streams(client, _number):
    """HTTP/2 without an upgrade: many streams with bodies that do not end."""
    await client.send(HTTP2_PREFACE + HTTP2_SETTINGS)
    # HPACK: method POST, path /, scheme http as indexed fields
    block = bytes((0x83, 0x84, 0x86))
    for number in range(HTTP2_STREAMS):
        stream = (2 * number + 1).to_bytes(4, "big")
        await client.send(len(block).to_bytes(3, "big") + bytes((1, 4)) + stream + block)
        data = bytes(HTTP2_FRAME_BYTES)
        for _ in range(3):
            await client.send(len(data).to_bytes(3, "big") + bytes((0, 0)) + stream + data)


async def upgrade_to_http2(client, number):
    """The upgrade of HTTP/1.1 to HTTP/2, and then its streams."""
    upgrade = (b"Connection: Upgrade, HTTP2-Settings", b"Upgrade: h2c", b"HTTP2-Settings: AAMAAABk")
    await client.send(head(*upgrade, method=b"GET"))
    await http2_streams(client, number)


async def websocket_message(client, _number):
    """A WebSocket handshake, and then a message that does not end."""
    upgrade = (
        b"Connection: Upgrade", b"Upgrade: websocket", b"Sec-WebSocket-Version: 13",
        b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
    )  # fmt: skip
    await client.send(head(*upgrade, method=b"GET"))
    size = MAX_BODY_BYTES
    await client.send(bytes((0x82, 0x80 | 127)) + size.to_bytes(8, "big") + bytes(4))
    await client.send_zeros(size - 1)


async def rpc_frame_short_of_its_end(client, _number):
    """A frame between processes of the fleet that lacks its last byte."""
    await client.send(RPC_FRAME_BYTES.to_bytes(FRAME_LENGTH_BYTES, "big"))
    await client.send_zeros(RPC_FRAME_BYTES - 1)


async def rpc_frame_over_the_limit(client, _number):
    """A frame that announces more than is allowed."""
    await client.send((1 << 31).to_bytes(FRAME_LENGTH_BYTES, "big"))
    await client.send_zeros(OVER_LIMIT_BYTES)


async def rpc_subscription_unread(client, number):
    """A scheduler's subscription to the feed, whose snapshot is not read."""
    frame = pb.Frame(subscribe=pb.Subscribe(node=f"edge-{number}", zone="north")).SerializeToString()
    await client.send(len(frame).to_bytes(FRAME_LENGTH_BYTES, "big") + frame)
