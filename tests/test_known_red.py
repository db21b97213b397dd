"""Only the tests listed in KNOWN-RED.txt may fail."""

import pytest

TESTS = "def test_good(): pass\ndef test_bad(): assert False\ndef test_worse(): assert False"
BAD = "test_it.py::test_bad | a fault | issue 1"
WORSE = "test_it.py::test_worse | another | issue 2"


@pytest.fixture
def run(pytester):
    def run(text, *args):
        pytester.makeconftest("from known_red import pytest_collection_modifyitems")
        pytester.makepyfile(test_it=TESTS)
        pytester.makeini("[pytest]")
        if text is not None:
            (pytester.path / "KNOWN-RED.txt").write_text(text)
        return pytester.runpytest(*args)

    return run


@pytest.mark.parametrize(
    ("text", "code", "counts"),
    [
        (None, 1, {"passed": 1, "failed": 2}),
        ("", 1, {"passed": 1, "failed": 2}),
        (BAD, 1, {"passed": 1, "failed": 1, "xfailed": 1}),
        (f"{BAD}\n\n{WORSE}\n", 0, {"passed": 1, "xfailed": 2}),
        (f"{BAD}\n{WORSE}\ntest_it.py::test_good | none | issue 3", 1, {"failed": 1, "xfailed": 2}),
    ],
    ids=["no file", "empty", "one of two", "both", "one that passes"],
)
def test_only_the_listed_tests_may_fail(run, text, code, counts):
    result = run(text)
    assert result.ret == code
    result.assert_outcomes(**counts)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("test_it.py::test_gone | a fault | issue 1", "no such test: test_it.py::test_gone"),
        ("test_no.py::test_bad | a fault | issue 1", "no such test: test_no.py::test_bad"),
        ("test_it.py::test_bad | a fault", "not 'test | cause | issue'"),
        ("test_it.py::test_bad |  | issue 1", "not 'test | cause | issue'"),
        ("\n".join(f"test_it.py::t{i} | a | b" for i in range(4)), "4 tests, 3 at most"),
    ],
)
def test_an_invalid_list_fails_the_run(run, text, message):
    result = run(text)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{message}*"])


def test_a_selection_of_the_tests_can_be_run(run):
    assert run(f"{BAD}\n{WORSE}", "test_it.py::test_good").ret == 0
    assert run(f"{BAD}\n{WORSE}", "-k", "good").ret == 0
