"""Settings for all tests: property tests draw the same examples in every run.

`pytest --hypothesis-profile explore` draws fresh ones; a failure that it finds becomes a fixed example.
"""

import ast
import asyncio
import functools
import gc

import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems

__all__ = ["pytest_collection_modifyitems"]
pytest_plugins = ["pytester"]


def _without_garbage_collection(function):
    """A function that runs without the garbage collector.

    CPython 3.11 fails with "AST constructor recursion depth mismatch" if finalizers run while it builds a
    syntax tree.  werkzeug parses code when an application is built, pytest when it reports a failure.
    """

    @functools.wraps(function)
    def run(*arguments, **options):
        was_enabled = gc.isenabled()
        gc.disable()
        try:
            return function(*arguments, **options)
        finally:
            if was_enabled:
                gc.enable()

    return run


ast.parse = _without_garbage_collection(ast.parse)
CROWDS = "crowds"  # tests that measure memory: played one at a time, when they are named


def pytest_ignore_collect(collection_path, config):
    """Leave the crowds out unless they are asked for."""
    if collection_path.name == CROWDS and not any(CROWDS in argument for argument in config.args):
        return True
    return None


settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
settings.register_profile("explore", derandomize=False, database=None, deadline=None, print_blob=True)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def no_task_is_left_on_a_closed_loop():
    """Guards against a task that a test leaves behind and the garbage collector ends during another test.

    Its traceback is then created while that test may be parsing sources, where CPython 3.11.7 fails with "AST
    constructor recursion depth mismatch": a test fails that has nothing to do with the task.
    """
    yield
    left = [task for task in asyncio.tasks._all_tasks if not task.done() and task.get_loop().is_closed()]
    assert not left, left
