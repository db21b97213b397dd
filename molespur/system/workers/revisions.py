"""How many orders each worker has taken, as far as its owner is certain of it.  Pure.

An order that names the number expected (`IfRevision`) is refused where somebody else's order has come in
between.
"""


class OrderRevisions:
    """The numbers of one owner's workers; each counts until its worker may have taken another order."""

    def __init__(self):
        self._known: dict[str, int] = {}

    def expected(self, worker_id: str) -> int | None:
        """The number to name in the next order to a worker; None: not known, the order names none."""
        return self._known.get(worker_id)

    def reported(self, worker_id: str, sequence: int) -> None:
        """A worker with no order under way has told how many it has taken."""
        self._known[worker_id] = sequence

    def order_sent(self, worker_id: str) -> None:
        """An order has gone out: taken, refused or lost, the number is to be asked for again."""
        self._known.pop(worker_id, None)

    def forget(self) -> None:
        """Another process may have given orders since."""
        self._known.clear()
