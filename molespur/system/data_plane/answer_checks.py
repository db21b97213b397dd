"""Checks that a worker's response belongs to this request, and reads prefill handles.  Pure."""

import json

from .exchange_messages import Failure
from .upstream import ATTEMPT_ID, NOT_EXECUTED, STAMP, Head, UpstreamError


def check_head(head: Head, attempt_id: bytes, needs_stamp: bool = True) -> None:
    """Raise UpstreamError unless this is a worker's response to this attempt.

    Workers return the id of the attempt with every response, rejections included.  A response without it
    answers another call that was made on the same connection before.

    `needs_stamp`: the response goes to the client, so a success has to carry the worker's stamp.
    """
    if head.get(ATTEMPT_ID) != attempt_id:  # a late response to another call, which proves nothing about this
        raise UpstreamError(Failure.MAY_HAVE_RUN, "response without the id of this attempt")
    if head.get(NOT_EXECUTED) is not None or head.status == 421:
        raise UpstreamError(Failure.REJECTED, f"rejected with status {head.status}")
    if head.get(b"content-encoding") is not None:
        raise UpstreamError(Failure.MAY_HAVE_RUN, "response body is encoded")
    if head.status < 200 or (needs_stamp and head.status < 300 and head.get(STAMP) is None):
        raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {head.status} without the worker's stamp")
    if head.status in (429, 503, 408) or 300 <= head.status < 400:
        raise UpstreamError(
            Failure.MAY_HAVE_RUN, f"status {head.status} does not state that the request was not executed"
        )


def answers_call_without_id(head: Head) -> bool:
    """Whether this may be the response to a call without an attempt id, such as a load report."""
    return not head.get(ATTEMPT_ID)


def is_framed(head: Head) -> bool:
    """Whether the end of the body is distinguishable from a broken connection."""
    return head.get(b"transfer-encoding") is not None or head.get(b"content-length") is not None


def read_handle(body: bytes) -> str:
    """The handle in the response to a prefill call.  Raises UpstreamError."""
    try:
        handle = json.loads(body)["PrefillHandle"]
    except (ValueError, KeyError, TypeError) as error:
        raise UpstreamError(Failure.MAY_HAVE_RUN, f"prefill response has no handle: {error!r}") from error
    if not isinstance(handle, str) or not handle.isalnum():
        raise UpstreamError(Failure.MAY_HAVE_RUN, "prefill handle is not alphanumeric")
    return handle
