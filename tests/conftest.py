"""Settings of all tests: property tests draw the same examples in every run, unless told to explore.

`pytest --hypothesis-profile explore` draws fresh ones; what it finds becomes a fixed example of a test.
"""

import asyncio

import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems

__all__ = ["pytest_collection_modifyitems"]
pytest_plugins = ["pytester"]

settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
settings.register_profile("explore", derandomize=False, database=None, deadline=None, print_blob=True)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def no_task_is_left_on_a_closed_loop():
    """A task that a test leaves behind ends within another one, when the garbage collector finds it.

    What was seen: its traceback was made while that other test parsed sources, which CPython 3.11.7 does not
    bear ("AST constructor recursion depth mismatch"), and a test failed that had no part in it.
    """
    yield
    left = [task for task in asyncio.tasks._all_tasks if not task.done() and task.get_loop().is_closed()]
    assert not left, left
