"""What a scheduler took in, sent and answered, counted since its start."""

from collections import Counter

import msgspec

PASSED, DROPPED, BAD_GATEWAY = ENDS = ("passed", "dropped", "bad_gateway")  # jobs, by their final answer
TRIES = "upstream_tries"  # upstream requests written whole
LOADS, LOAD_ERRORS = "loads", "load_errors"  # configurations taken and turned down while running


def end_of(end: str, job_class: str) -> str:
    """The counter of jobs of a class that ended one way."""
    return f"{end}.{job_class}"


class Counters(Counter):
    """Counts under dotted names: in.*, sent.*, answered.*, and what went wrong."""

    def line(self, name: str) -> str:
        """All counts as one line for the log."""
        return f"counters {name} " + msgspec.json.encode(dict(sorted(self.items()))).decode()
