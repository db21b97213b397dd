"""Splitting a byte stream into JSON values: any layout and any chunking give the same values."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molespur.net.values import JsonSplitter

texts = st.text(st.sampled_from('ab"\\{}[]\n,: \u00e9\u2028'), max_size=8)
leaves = st.none() | st.booleans() | st.integers() | texts
inner = st.recursive(leaves, lambda one: st.lists(one, max_size=3) | st.dictionaries(texts, one, max_size=3))
values = st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4)
ends = st.sampled_from(["", "\n", "\n\n ", "\r\n"])
layouts = st.tuples(values, st.sampled_from([None, 0, 2]), st.booleans(), ends)


@given(st.lists(layouts, max_size=5), st.integers(1, 40))
def test_any_layout_and_chunking_gives_the_same_values(given_values, chunk_size):
    text = "".join(
        json.dumps(value, indent=indent, ensure_ascii=ascii) + between
        for value, indent, ascii, between in given_values
    ).encode()
    splitter, found, ended = JsonSplitter(1 << 20), [], False
    for at in range(0, len(text), chunk_size):
        complete, line_ended = splitter.feed(text[at : at + chunk_size])
        found += complete
        ended |= line_ended
    assert [json.loads(one) for one in found] == [value for value, *_ in given_values]
    assert ended == any("\n" in between for *_, between in given_values)


@given(st.binary(max_size=200), st.integers(1, 20))
def test_any_bytes_give_values_or_an_error_and_the_buffer_stays_bounded(data, chunk_size):
    splitter = JsonSplitter(64)
    for at in range(0, len(data), chunk_size):
        try:
            found, _ = splitter.feed(data[at : at + chunk_size])
        except ValueError:
            return
        assert all(one[:1] in b"{[" and one[-1:] in b"}]" for one in found)
        assert len(splitter._text) <= 64


@pytest.mark.parametrize("text", [b"x", b"1\n", b'"a"', b"}", b"{}x", b"[" * 65, b'{"a":"' + b"b" * 65])
def test_anything_but_objects_and_arrays_is_an_error(text):
    with pytest.raises(ValueError):
        JsonSplitter(64).feed(text)


def test_an_incomplete_value_or_line_is_not_reported():
    splitter = JsonSplitter(64)
    assert splitter.feed(b'{"a"') == ([], False)
    assert splitter.feed(b":\n\n") == ([], False)
    assert splitter.feed(b"1}") == ([b'{"a":\n\n1}'], False)
    assert splitter.feed(b"\n") == ([], True)
    assert splitter.feed(b"") == ([], False)
