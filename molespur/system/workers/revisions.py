"""The number of orders that each worker has accepted, where the owner of its shard knows it.  No I/O.

An order carries the expected number (`IfRevision`).  The worker refuses it if it has accepted an order from
another process in between.
"""

from collections.abc import Collection


class OrderRevisions:
    """The known numbers; each is valid until its worker may have accepted another order."""

    def __init__(self):
        self._known: dict[str, int] = {}  # by worker id

    def expected(self, worker_id: str) -> int | None:
        """The `IfRevision` of the next order to a worker; None: unknown, the order is sent without it."""
        return self._known.get(worker_id)

    def reported(self, worker_id: str, sequence: int) -> None:
        """A worker with no order in progress has reported the number of orders that it has accepted."""
        self._known[worker_id] = sequence

    def order_sent(self, worker_id: str) -> None:
        """An order has been sent.  It may be accepted, refused or lost, so the number is unknown."""
        self._known.pop(worker_id, None)

    def retain(self, worker_ids: Collection[str]) -> None:
        """Drop the numbers of all other workers: they are gone."""
        self._known = {worker_id: n for worker_id, n in self._known.items() if worker_id in worker_ids}

    def forget(self) -> None:
        """Drop all numbers: another process may have sent orders."""
        self._known.clear()
