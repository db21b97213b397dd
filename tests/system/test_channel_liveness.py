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

from virtual_fleet import VirtualLoop

from molespur.system.rpc.channel import Dialer

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
