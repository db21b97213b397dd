"""A channel that carries frames in one direction only is closed, so that it can be opened anew.

The failure: for seven seconds nothing arrived from one control-plane process at the others, not even TCP
acknowledgements. The process lost its own channels after 1,500 ms and reopened them when the partition
healed. The leader's connection to it had a full send window and neither broke nor made progress, so the
process missed 300 changes until another leader was elected, eight seconds later.
"""

import asyncio

import pytest
from virtual_fleet import VirtualLoop

from molespur.system.rpc.channel import Channel, Dialer

MAX_DETECTION_S = 2.0


class HalfOpenTransport:
    """A connection that accepts all bytes and never delivers any."""

    def __init__(self):
        self.closed = False

    def is_closing(self):
        return self.closed

    def write(self, _data):
        """Discard the bytes."""

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, _name):
        return None


class Network:
    """Opens half-open connections."""

    def __init__(self, loop):
        self.loop, self.opened = loop, []

    async def create_connection(self, factory, _host, _port):
        protocol, transport = factory(), HalfOpenTransport()

        def close():
            if not transport.closed:
                transport.closed = True
                self.loop.call_soon(protocol.connection_lost, None)

        transport.close = transport.abort = close
        protocol.connection_made(transport)
        self.opened.append(self.loop.time())
        return transport, protocol


def test_a_channel_that_receives_nothing_is_closed_and_redialled(monkeypatch):
    loop = VirtualLoop()
    network = Network(loop)
    monkeypatch.setattr(loop, "create_connection", network.create_connection)

    async def scenario():
        dialer = Dialer("10.0.0.1:7000", lambda *_: None)
        await asyncio.sleep(10.0)
        dialer.stop()

    loop.run_until_complete(scenario())
    loop.close()
    gaps = [later - earlier for earlier, later in zip(network.opened, network.opened[1:], strict=False)]
    assert gaps and max(gaps) <= MAX_DETECTION_S, network.opened


# -- The accepting side ---------------------------------------------------------------------------------


class LinkedTransport(HalfOpenTransport):
    """One end of a connection; its bytes reach the other end after a delay while `peer_receives`."""

    DELAY_S = 0.02

    def __init__(self, loop):
        super().__init__()
        self.loop, self.peer, self.peer_receives = loop, None, True

    def write(self, data):
        if self.peer_receives:
            self.loop.call_later(self.DELAY_S, self.peer.data_received, data)


def linked_channels(loop, lost):
    """Two ends of one connection; appends the name and time of each end that is lost to `lost`."""
    ends = []
    for name in ("dialled", "accepted"):
        channel = Channel(lambda *_: None, lambda _channel, name=name: lost.append((name, loop.time())))
        transport = LinkedTransport(loop)
        transport.abort = transport.close = lambda c=channel, t=transport: (
            setattr(t, "closed", True),
            c.connection_lost(None),
        )
        ends.append((channel, transport))
    (one, one_transport), (other, other_transport) = ends
    one_transport.peer, other_transport.peer = other, one
    for channel, transport in ends:
        channel.connection_made(transport)
    return ends


def test_an_accepted_channel_that_receives_nothing_is_closed():
    """Without the check, the channel stays open until the kernel times out, if it ever does."""
    loop, lost = VirtualLoop(), []

    async def scenario():
        channel = Channel(lambda *_: None, lambda _channel: lost.append(loop.time()))
        transport = HalfOpenTransport()
        transport.abort = transport.close = lambda: channel.connection_lost(None)
        channel.connection_made(transport)
        await asyncio.sleep(10.0)

    loop.run_until_complete(scenario())
    loop.close()
    assert len(lost) == 1 and lost[0] <= MAX_DETECTION_S


def test_an_idle_channel_stays_open():
    loop, lost = VirtualLoop(), []

    async def scenario():
        linked_channels(loop, lost)
        await asyncio.sleep(60.0)

    loop.run_until_complete(scenario())
    loop.close()
    assert not lost


@pytest.mark.parametrize("sender", (0, 1))
def test_both_ends_close_a_channel_that_is_broken_in_one_direction(sender):
    """The end that still receives gets no replies to its pings, so it closes the channel as well."""
    loop, lost = VirtualLoop(), []

    async def scenario():
        ends = linked_channels(loop, lost)
        await asyncio.sleep(5.0)
        ends[sender][1].peer_receives = False
        await asyncio.sleep(MAX_DETECTION_S + 1.0)

    loop.run_until_complete(scenario())
    loop.close()
    assert {name for name, _ in lost} == {"dialled", "accepted"}
    assert all(5.0 < at <= 5.0 + MAX_DETECTION_S for _, at in lost), lost
