"""A channel whose peer hears and is not heard is given up, so that it comes back once the link does.

The failure behind this test: for seven seconds nothing came back from one control-plane process to the
others, not even acknowledgements of bytes. The link healed, and the process stayed cut off: its leader
had an open connection to it whose window was full, which neither broke nor moved any more. It lacked
300 changes until another leader was elected, eight seconds later.

Evidence: both ends' logs. The process itself had lost its channels after 1,500 ms and opened new ones
at the heal; the leader's channel to it never was lost ("rpc: channel to ... lost" is missing there, and
nothing came over it).
"""

import asyncio

import pytest
from virtual_fleet import VirtualLoop

from molespur.system.rpc.channel import Channel, Dialer

LONGEST_S = 2.0


class HalfOpenTransport:
    """A connection that takes bytes for ever and brings none."""

    def __init__(self):
        self.closed = False

    def is_closing(self):
        return self.closed

    def write(self, _data):
        """Taken, and never answered."""

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


def test_a_channel_from_which_nothing_comes_back_is_dialled_anew(monkeypatch):
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
    assert gaps and max(gaps) <= LONGEST_S, network.opened


# -- The side that was dialled --------------------------------------------------------------------------


class LinkedTransport(HalfOpenTransport):
    """One end of a connection whose bytes arrive a little later at the other one, while that hears."""

    DELAY_S = 0.02

    def __init__(self, loop):
        super().__init__()
        self.loop, self.peer, self.peer_hears = loop, None, True

    def write(self, data):
        if self.peer_hears:
            self.loop.call_later(self.DELAY_S, self.peer.data_received, data)


def linked_channels(loop, lost):
    """Two ends of one connection; which of them were lost is noted."""
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


def test_an_accepted_channel_that_falls_silent_is_given_up():
    """The failure: bytes that its peer never answers kept it open until the kernel gave up, if ever."""
    loop, lost = VirtualLoop(), []

    async def scenario():
        channel = Channel(lambda *_: None, lambda _channel: lost.append(loop.time()))
        transport = HalfOpenTransport()
        transport.abort = transport.close = lambda: channel.connection_lost(None)
        channel.connection_made(transport)
        await asyncio.sleep(10.0)

    loop.run_until_complete(scenario())
    loop.close()
    assert len(lost) == 1 and lost[0] <= LONGEST_S


def test_two_quiet_ends_that_hear_each_other_keep_their_channel():
    loop, lost = VirtualLoop(), []

    async def scenario():
        linked_channels(loop, lost)
        await asyncio.sleep(60.0)

    loop.run_until_complete(scenario())
    loop.close()
    assert not lost


@pytest.mark.parametrize("deaf", (0, 1))
def test_both_ends_give_up_a_channel_that_brings_nothing_one_way(deaf):
    """The end that still hears is not answered either, so it gives the channel up as well."""
    loop, lost = VirtualLoop(), []

    async def scenario():
        ends = linked_channels(loop, lost)
        await asyncio.sleep(5.0)
        ends[deaf][1].peer_hears = False
        await asyncio.sleep(LONGEST_S + 1.0)

    loop.run_until_complete(scenario())
    loop.close()
    assert {name for name, _ in lost} == {"dialled", "accepted"}
    assert all(5.0 < at <= 5.0 + LONGEST_S for _, at in lost), lost
