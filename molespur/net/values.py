"""Splits a byte stream into JSON values, for any layout and any chunking.  Does no I/O."""

import re

_inside = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.S).search
_outside = re.compile(rb"\S").search


class JsonSplitter:
    """Splits a stream of JSON objects and arrays with white space between them.

    `feed` raises ValueError for a value larger than max_value_bytes, and for anything else between values.
    """

    def __init__(self, max_value_bytes: int):
        self.max_value_bytes = max_value_bytes
        self._text, self._at, self._depth = bytearray(), 0, 0  # unconsumed bytes, scan position, nesting

    def feed(self, data: bytes) -> tuple[list[bytes], bool]:
        """Return the values that are complete now, and whether a line ended outside of any value."""
        self._text += data
        values, line_ended = [], False
        while True:
            if not self._depth:
                found = _outside(self._text)
                line_ended |= b"\n" in self._text[: found.start() if found else None]
                del self._text[: found.start() if found else None]
                self._at = 0
                if found is None:
                    break
                if self._text[:1] not in (b"{", b"["):
                    raise ValueError("JSON value is neither an object nor an array")
            if not self._scan():
                break
            values.append(bytes(self._text[: self._at]))
            del self._text[: self._at]
        if len(self._text) > self.max_value_bytes:
            raise ValueError("JSON value exceeds the size limit")
        return values, line_ended

    def _scan(self) -> bool:
        """Scan on from the last position; return whether the value is complete there."""
        while (token := _inside(self._text, self._at)) is not None:
            kind = token[0]
            if kind == b'"':
                self._at = token.start()  # an incomplete string: scanned again when more data arrives
                return False
            self._at = token.end()
            if kind in (b"{", b"["):
                self._depth += 1
            elif kind in (b"}", b"]"):
                self._depth -= 1
                if not self._depth:
                    return True
        self._at = len(self._text)
        return False
