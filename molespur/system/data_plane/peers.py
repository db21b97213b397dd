"""The socket on which schedulers tell each other their work."""

import asyncio
from collections.abc import Callable

from absl import logging

from .peer_work import PeerWorkTable

SEND_INTERVAL_S = 0.04
MAX_FULL_RATE_PEERS = 8  # with more peers own work is told less often, so that datagrams stay as many
SETTLE_TURNS = 5  # turns between looks for peers that have fallen silent
MAX_DATAGRAM = 4096


class PeerSocket(asyncio.DatagramProtocol):
    """Sends own work to the peers that the control plane has named, and takes theirs."""

    def __init__(self, address: str, table: PeerWorkTable, clock: Callable[[], float]):
        self.address, self.table, self.clock = address, table, clock
        self.peers: dict[tuple[str, int], None] = {}
        self.count_schedulers: Callable[[], int] = lambda: 0
        self._transport: asyncio.DatagramTransport | None = None

    def set_peers(self, addresses: list[str]) -> None:
        """These are the peers from now on."""
        split = [address.rpartition(":") for address in addresses if address != self.address]
        self.peers = {(host, int(port)): None for host, _, port in split}

    def datagram_received(self, data: bytes, source) -> None:
        """Take a datagram of a peer (asyncio callback)."""
        if source not in self.peers or len(data) > MAX_DATAGRAM:
            self.table.dropped["stranger"] += 1
            return
        self.table.receive(self.clock(), data)

    def error_received(self, error: Exception) -> None:
        """A peer's port is closed (asyncio callback): it will be named no more before long."""
        logging.vlog(1, "peer datagram: %s", error)

    async def run(self) -> None:
        """Tell and settle until cancelled."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        except OSError as error:
            logging.error("no exchange with other schedulers: %s: %s", self.address, error)
            await asyncio.Event().wait()
        turn = 0
        while True:
            await asyncio.sleep(SEND_INTERVAL_S * max(1.0, len(self.peers) / MAX_FULL_RATE_PEERS))
            turn += 1
            now = self.clock()
            if turn % SETTLE_TURNS == 0:
                self.table.settle(now, self.count_schedulers())
            if not self.peers:
                continue
            for datagram in self.table.datagrams(now):
                for peer in self.peers:
                    self._transport.sendto(datagram, peer)
