"""Each break still fits the sources, so that the command which plays them says what it means to."""

from pathlib import Path

import pytest

from .breaks import BREAKS

ROOT = Path(__file__).resolve().parents[3]


@pytest.mark.parametrize("made", BREAKS, ids=lambda made: made.name)
def test_the_line_of_a_break_stands_once_and_its_tests_are_there(made):
    assert (ROOT / made.file).read_text().count(made.line) == 1
    assert made.broken != made.line
    for test in made.tests:
        assert (ROOT / test).exists(), test


def test_there_are_thirty_breaks_with_names_of_their_own():
    assert len({made.name for made in BREAKS}) == len(BREAKS) >= 30
