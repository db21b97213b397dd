"""The datagram socket on which schedulers announce their unfinished work to each other."""

import asyncio
from collections.abc import Callable

from absl import logging

from .peer_work import PeerWorkTable

SEND_INTERVAL_S = 0.04
MAX_FULL_RATE_PEERS = 8  # with more peers, intervals grow so that the rate of datagrams stays the same
EXPIRY_INTERVALS = 5  # send intervals between checks for peers that have fallen silent
MAX_DATAGRAM_BYTES = 4096


class PeerSocket(asyncio.DatagramProtocol):
    """Sends own work to the peers that the control plane has named, and receives theirs."""

    def __init__(self, address: str, table: PeerWorkTable, clock: Callable[[], float]):
        self.address, self.table, self.clock = address, table, clock
        self.peers: dict[tuple[str, int], None] = {}
        self.count_schedulers: Callable[[], int] = lambda: 0
        self._transport: asyncio.DatagramTransport | None = None

    def set_peers(self, addresses: list[str]) -> None:
        """Replace the peers."""
        split = [address.rpartition(":") for address in addresses if address != self.address]
        self.peers = {(host, int(port)): None for host, _, port in split}

    def datagram_received(self, data: bytes, source) -> None:
        """Receive a datagram of a peer (asyncio callback)."""
        if source not in self.peers or len(data) > MAX_DATAGRAM_BYTES:
            self.table.dropped["stranger"] += 1
            return
        self.table.receive(self.clock(), data)

    def error_received(self, error: Exception) -> None:
        """A peer's port is closed (asyncio callback); the control plane will soon drop it from the peers."""
        logging.vlog(1, "failed to send a datagram to a peer: %s", error)

    async def run(self) -> None:
        """Send own work and expire silent peers until cancelled."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        except OSError as error:
            logging.error(
                "failed to open peer socket %s; no work is exchanged with other schedulers: %s",
                self.address,
                error,
            )
            await asyncio.Event().wait()
        intervals = 0
        while True:
            await asyncio.sleep(SEND_INTERVAL_S * max(1.0, len(self.peers) / MAX_FULL_RATE_PEERS))
            intervals += 1
            now = self.clock()
            if intervals % EXPIRY_INTERVALS == 0:
                self.table.expire(now, self.count_schedulers())
            if not self.peers:
                continue
            for datagram in self.table.datagrams(now):
                for peer in self.peers:
                    self._transport.sendto(datagram, peer)
