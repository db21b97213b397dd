"""When a dialer retries: hanging attempts, delays between attempts, and a peer known to be up."""

import asyncio

import pytest
from wire import run

from molespur.system.rpc import channel as channels
from molespur.system.rpc.channel import Channel, Dialer

LONG_S = 60.0


class Network:
    """Replaces the loop's `create_connection`: takes one outcome per attempt; the last one repeats."""

    def __init__(self, *outcomes):
        self.outcomes, self.attempts = list(outcomes), 0
        self.attempted = asyncio.Event()
        self.on_attempt = lambda: None

    async def create_connection(self, factory, _host, _port):
        self.attempts += 1
        self.attempted.set()
        self.on_attempt()
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        if outcome == "hang":
            await asyncio.Event().wait()
        if outcome == "refuse":
            raise ConnectionRefusedError
        channel = factory()
        channel.transport = self.transport = Transport()
        return channel.transport, channel


class Transport:
    """An open connection that never delivers any bytes."""

    def __init__(self):
        self.closed = False

    def is_closing(self):
        return self.closed

    def write(self, _data):
        """Discard the bytes."""

    def get_write_buffer_size(self):
        return 0

    def close(self):
        self.closed = True


def dialer_test(monkeypatch, scenario, *outcomes):
    async def prepared():
        monkeypatch.setattr(channels, "CONNECT_TIMEOUT_S", LONG_S)
        monkeypatch.setattr(channels, "REDIAL_DELAYS_S", (LONG_S,))
        monkeypatch.setattr(channels, "STALE_ATTEMPT_S", 0.0)
        network = Network(*outcomes)
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", network.create_connection)
        opened = asyncio.Event()
        dialer = Dialer("10.0.0.1:7000", lambda *_: None, lambda _channel: opened.set())
        await network.attempted.wait()
        await settle()
        try:
            await scenario(dialer, network, opened)
        finally:
            dialer.stop()

    run(prepared())


async def settle():
    """Run the callbacks and tasks that are ready."""
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.mark.parametrize("first", ["hang", "refuse"])
def test_a_peer_that_is_known_to_be_up_is_dialled_at_once(monkeypatch, first):
    async def scenario(dialer, network, opened):
        assert dialer.channel is None and network.attempts == 1
        dialer.notify_peer_alive()
        await opened.wait()
        assert network.attempts == 2 and isinstance(dialer.channel, Channel)

    dialer_test(monkeypatch, scenario, first, "open")


def test_a_recent_attempt_is_not_cancelled(monkeypatch):
    async def scenario(dialer, network, _opened):
        monkeypatch.setattr(channels, "STALE_ATTEMPT_S", LONG_S)
        dialer.notify_peer_alive()
        await settle()
        assert network.attempts == 1

    dialer_test(monkeypatch, scenario, "hang", "open")


def test_a_connected_peer_is_not_dialled_again(monkeypatch):
    async def scenario(dialer, network, opened):
        await opened.wait()
        dialer.notify_peer_alive()
        await settle()
        assert network.attempts == 1 and dialer.channel.open

    dialer_test(monkeypatch, scenario, "open")


def test_peer_alive_before_a_channel_opens_does_not_affect_the_next_attempt(monkeypatch):
    async def scenario(dialer, network, opened):
        dialer.notify_peer_alive()
        await opened.wait()
        dialer.channel.connection_lost(None)
        await settle()
        assert network.attempts == 2, "the dialer must wait before the third attempt"

    monkeypatch.setattr(channels, "REDIAL_DELAYS_S", (LONG_S,))
    dialer_test(monkeypatch, scenario, "hang", "open", "hang")


def test_a_channel_that_opens_as_its_dialer_is_stopped_is_closed(monkeypatch):
    async def scenario(dialer, network, _opened):
        network.on_attempt = dialer.stop
        dialer.notify_peer_alive()
        await settle()
        assert network.attempts == 2 and network.transport.closed

    dialer_test(monkeypatch, scenario, "refuse", "open")


def test_a_stopped_dialer_closes_its_channel(monkeypatch):
    async def scenario(dialer, _network, opened):
        await opened.wait()
        transport = dialer.channel.transport
        dialer.stop()
        await settle()
        assert transport.closed

    dialer_test(monkeypatch, scenario, "open")
