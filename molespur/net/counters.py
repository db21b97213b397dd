"""Counters of what a scheduler has accepted, sent and responded since its start."""

from collections import Counter

import msgspec

# Counters of jobs by their final response.
PASSED, DROPPED, BAD_GATEWAY = FINAL_RESPONSES = ("passed", "dropped", "bad_gateway")
UPSTREAM_TRIES = "upstream_tries"  # completely written upstream requests
LOADS, LOAD_ERRORS = "loads", "load_errors"  # reloads of the configuration that succeeded and failed


def response_counter(end: str, job_class: str) -> str:
    """The name of the counter of a class's jobs with this final response."""
    return f"{end}.{job_class}"


class Counters(Counter):
    """Counters with dotted names: in.*, sent.*, answered.* and those of faults."""

    def line(self, name: str) -> str:
        """All counters as one log line."""
        return f"counters {name} " + msgspec.json.encode(dict(sorted(self.items()))).decode()
