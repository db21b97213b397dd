"""Cuts a stream of bytes into JSON values, however they are laid out and in whatever pieces.  Pure."""

import re

_inside = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.S).search
_outside = re.compile(rb"\S").search


class Values:
    """Objects and arrays, one after the other, with white space between them.

    `most`: bytes that a value may take.  `feed` raises ValueError for one that is larger, or for anything
    else between values.
    """

    def __init__(self, most: int):
        self.most = most
        self._text, self._at, self._depth = bytearray(), 0, 0  # what is left; how far it is looked at

    def feed(self, data: bytes) -> tuple[list[bytes], bool]:
        """The values that are whole now, and whether a line has ended outside of any value."""
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
                    raise ValueError("neither an object nor an array")
            if not self._whole():
                break
            values.append(bytes(self._text[: self._at]))
            del self._text[: self._at]
        if len(self._text) > self.most:
            raise ValueError("a value without end")
        return values, line_ended

    def _whole(self) -> bool:
        """Look on from where the last look ended; tell whether the value ends there."""
        while (token := _inside(self._text, self._at)) is not None:
            kind = token[0]
            if kind == b'"':
                self._at = token.start()  # a text that has not ended: it is looked at again with what comes
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
