"""Cutting a stream of bytes into JSON values: whatever layout and pieces, the same values come out."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molespur.net.values import Values

texts = st.text(st.sampled_from('ab"\\{}[]\n,: \u00e9\u2028'), max_size=8)
leaves = st.none() | st.booleans() | st.integers() | texts
inner = st.recursive(leaves, lambda one: st.lists(one, max_size=3) | st.dictionaries(texts, one, max_size=3))
values = st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4)
ends = st.sampled_from(["", "\n", "\n\n ", "\r\n"])
layouts = st.tuples(values, st.sampled_from([None, 0, 2]), st.booleans(), ends)


@given(st.lists(layouts, max_size=5), st.integers(1, 40))
def test_the_same_values_come_out(given_values, piece):
    text = "".join(
        json.dumps(value, indent=indent, ensure_ascii=ascii) + between
        for value, indent, ascii, between in given_values
    ).encode()
    cutter, whole, ended = Values(1 << 20), [], False
    for at in range(0, len(text), piece):
        some, line_ended = cutter.feed(text[at : at + piece])
        whole += some
        ended |= line_ended
    assert [json.loads(one) for one in whole] == [value for value, *_ in given_values]
    assert ended == any("\n" in between for *_, between in given_values)


@given(st.binary(max_size=200), st.integers(1, 20))
def test_anything_else_ends_in_values_or_an_error_and_stays_bounded(data, piece):
    cutter = Values(64)
    for at in range(0, len(data), piece):
        try:
            whole, _ = cutter.feed(data[at : at + piece])
        except ValueError:
            return
        assert all(one[:1] in b"{[" and one[-1:] in b"}]" for one in whole)
        assert len(cutter._text) <= 64


@pytest.mark.parametrize("text", [b"x", b"1\n", b'"a"', b"}", b"{}x", b"[" * 65, b'{"a":"' + b"b" * 65])
def test_what_is_no_list_of_values_is_an_error(text):
    with pytest.raises(ValueError):
        Values(64).feed(text)


def test_half_a_line_is_no_word():
    cutter = Values(64)
    assert cutter.feed(b'{"a"') == ([], False)
    assert cutter.feed(b":\n\n") == ([], False)
    assert cutter.feed(b"1}") == ([b'{"a":\n\n1}'], False)
    assert cutter.feed(b"\n") == ([], True)
    assert cutter.feed(b"") == ([], False)
