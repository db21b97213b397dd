"""Each mutation still matches the sources, so that the command that runs them tests what it claims to."""

from pathlib import Path

import pytest

from .breaks import BREAKS

ROOT = Path(__file__).resolve().parents[3]


@pytest.mark.parametrize("mutation", BREAKS, ids=lambda mutation: mutation.name)
def test_the_text_of_a_mutation_occurs_once_and_its_tests_exist(mutation):
    assert (ROOT / mutation.file).read_text().count(mutation.original) == 1
    assert mutation.replacement != mutation.original
    for test in mutation.tests:
        assert (ROOT / test).exists(), test


def test_there_are_at_least_thirty_mutations_with_unique_names():
    assert len({mutation.name for mutation in BREAKS}) == len(BREAKS) >= 30
